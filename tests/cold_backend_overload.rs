//! Bounds what a whole fleet sends to cold backends, which the sum of all instances can overload, over a
//! thousand random scenarios. The term is explained in `docs/incidents/standing.md`.

mod fleet_simulation;

use fleet_simulation::{Scenario, SentCall, simulate};
use load_balancer::interface::Rules;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// A random scenario, and the time span (ms) over which too many calls overload a cold backend.
fn scenario(seed: u64, instances: usize) -> (Scenario, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut within = |from: f64, to: f64| from + (to - from) * rng.random::<f64>();
    let backends = within(4.0, 24.0) as usize;
    let cold_backends = [1, 1 + backends / 3, 1 + backends / 2, backends][within(0.0, 4.0) as usize];
    let has_warm = f64::from(u8::from(cold_backends < backends));
    let overload_span_ms = within(500.0, 2000.0);
    let rules = Rules {
        initial_capacity: within(0.1, 0.6),
        warm_up_ms: within(2000.0, 20_000.0),
        overload_multiple: within(1.5, 4.0),
        ..Rules::default()
    };
    let scenario = Scenario {
        seed,
        instances,
        backends,
        cold_backends,
        removed_ms: has_warm * within(-1500.0, 1500.0).max(0.0),
        rules,
        utilization: within(0.3, 0.8),
        load_factor: within(0.5, 1.5).max(1.0),
        requests_per_s: within(0.0, 1.0).powi(2) * 40.0 + 2.0,
        new_instance_share: within(-0.4, 0.6).max(0.0),
        stale_list_share: within(-0.2, 0.3).max(0.0),
        has_failing_backend: within(0.0, 1.0) < 0.3,
        warm_removed_after_ms: has_warm * within(-1000.0, 2000.0).max(0.0),
        observed_ms: overload_span_ms + 2500.0,
    };
    (scenario, overload_span_ms)
}

/// The highest ratio of the calls in a span to the budget with two standard deviations and two calls, over
/// spans in which more than two thirds of the calls came from instances that knew of the restart; and the
/// mean use of the budget over all such spans.
///
/// The budget is computed at each call from the capacity that the backend has at that time, so that its
/// capacity at the end of a span does not excuse a burst at the start, and at most from the mean capacity of
/// the span.
fn highest_and_mean_use(scenario: &Scenario, overload_span_ms: f64) -> (f64, f64) {
    let observations = simulate(scenario);
    let (mut highest, mut informed_use): (f64, Vec<f64>) = (0.0, Vec::new());
    for sent in &observations.sent {
        for (first, &SentCall { after_restart_ms: from, .. }) in sent.iter().enumerate() {
            let budget = |capacity_fraction: f64| {
                scenario.rules.overload_multiple
                    * capacity_fraction
                    * observations.capacity
                    * overload_span_ms
            };
            let mean = (scenario.capacity_fraction(from)
                + scenario.capacity_fraction(from + overload_span_ms))
                / 2.0;
            let until = (from + overload_span_ms).min(scenario.rules.warm_up_ms);
            let (mut calls, mut work, mut informed) = (0.0, 0.0, 0.0);
            for call in sent[first..].iter().take_while(|call| call.after_restart_ms < until) {
                calls += 1.0;
                work += call.work;
                informed += f64::from(u8::from(call.sender_informed));
                let allowed = budget(scenario.capacity_fraction(call.after_restart_ms).min(mean));
                if informed > calls * 2.0 / 3.0 {
                    highest = highest.max(f64::max(calls, work) / (allowed + 2.0 * allowed.sqrt() + 2.0));
                }
            }
            if informed > calls * 2.0 / 3.0 {
                informed_use.push(informed / budget(mean));
            }
        }
    }
    (highest, informed_use.iter().sum::<f64>() / informed_use.len().max(1) as f64)
}

/// Some instances have just started, some have a stale list, one in ten has several times the mean rate. One
/// backend, a part or all restart cold, after an outage or at once; a backend may fail, load may rise, and
/// the warm backends may leave.
#[rstest]
#[case(10)]
#[case(20)]
#[case(30)]
fn a_fleet_does_not_overload_a_cold_backend(#[case] instances: usize) {
    let seeds = (0..1002).filter(|seed| seed % 3 == instances as u64 / 10 - 1);
    let (mut overloaded, mut used) = (Vec::new(), 0.0);
    for seed in seeds.clone() {
        let (scenario, overload_span_ms) = scenario(seed, instances);
        let (highest, mean) = highest_and_mean_use(&scenario, overload_span_ms);
        overloaded.extend((highest > 1.0).then_some((seed, highest)));
        used += mean / seeds.clone().count() as f64;
    }
    assert!(
        overloaded.is_empty(),
        "seeds with an overloaded cold backend, and the ratio to the budget: {overloaded:?}"
    );
    assert!(used > 0.1, "cold backends get too few calls: {used:.2} of their budgets");
}
