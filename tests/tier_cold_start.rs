//! A whole tier and all its proxy instances start at once: no instance has measured a response rate, and
//! every backend is cold.

mod fleet_simulation;

use fleet_simulation::{Scenario, SentCall, simulate};
use load_balancer::interface::Rules;
use rstest::rstest;

const BACKENDS: usize = 12;
/// The time span over which too many calls overload a cold backend, in milliseconds.
const OVERLOAD_SPAN_MS: f64 = 1000.0;
/// The time for which all backends are cold, in milliseconds.
const WARM_UP_MS: f64 = 8000.0;

fn scenario(seed: u64, instances: usize) -> Scenario {
    Scenario {
        seed,
        instances,
        backends: BACKENDS,
        cold_backends: BACKENDS,
        removed_ms: 0.0,
        rules: Rules {
            initial_capacity: 0.3,
            warm_up_ms: WARM_UP_MS,
            overload_multiple: 3.0,
            ..Rules::default()
        },
        utilization: 0.5,
        load_factor: 1.0,
        requests_per_s: 10.0,
        new_instance_share: 1.0,
        stale_list_share: 0.0,
        has_failing_backend: false,
        warm_removed_after_ms: 0.0,
        observed_ms: WARM_UP_MS,
    }
}

/// The highest ratio of the work sent within `OVERLOAD_SPAN_MS` to the budget with two standard deviations
/// and two calls.
fn highest_use(scenario: &Scenario, capacity: f64, sent: &[SentCall]) -> f64 {
    let use_from = |first: usize| {
        let from = sent[first].after_restart_ms;
        let sent_work: f64 = sent[first..]
            .iter()
            .take_while(|s| s.after_restart_ms < from + OVERLOAD_SPAN_MS)
            .map(|s| s.work.max(1.0))
            .sum();
        let budget =
            scenario.rules.overload_multiple * scenario.capacity_fraction(from) * capacity * OVERLOAD_SPAN_MS;
        sent_work / (budget + 2.0 * budget.sqrt() + 2.0)
    };
    (0..sent.len()).map(use_from).fold(0.0, f64::max)
}

#[rstest]
#[case(1)]
#[case(5)]
#[case(30)]
fn a_tier_that_starts_with_its_proxies_gets_calls_during_warm_up(#[case] instances: usize) {
    let seeds = 1..=10;
    let mut calls = 0;
    for seed in seeds.clone() {
        let scenario = scenario(seed, instances);
        let observations = simulate(&scenario);
        for sent in &observations.sent {
            let highest = highest_use(&scenario, observations.capacity, sent);
            assert!(highest <= 1.0, "seed {seed}: a cold backend gets {highest:.2} of its budget");
            calls += sent.iter().filter(|s| s.sender_informed).count();
        }
    }
    let calls_per_backend = calls as f64 / (seeds.count() * BACKENDS) as f64;
    assert!(calls_per_backend >= 1.0, "{calls_per_backend:.2} calls to each backend while it is cold");
}
