//! A whole tier and all the processes before it start at once: no process has seen a rate of answers yet, and every
//! backend is cold.

mod cold_rig;

use cold_rig::{Day, Sent, play};
use load_balancer::interface::Rules;
use rstest::rstest;

const BACKENDS: usize = 12;
/// Time in which a cold backend that gets too much falls over, in milliseconds.
const FALL: f64 = 1000.0;
/// Time for which all backends are cold, in milliseconds.
const COLD: f64 = 8000.0;

fn day(seed: u64, copies: usize) -> Day {
    Day {
        seed,
        copies,
        backends: BACKENDS,
        cold: BACKENDS,
        lost: 0.0,
        rules: Rules { initial_capacity: 0.3, warm_up_ms: COLD, overload_multiple: 3.0, ..Rules::default() },
        load: 0.5,
        burst: 1.0,
        rate: 10.0,
        fresh: 1.0,
        unaware: 0.0,
        bad: false,
        leave: 0.0,
        watch: COLD,
    }
}

/// The most that a backend got within `FALL`, over what it may get and what is put down to chance.
fn fullest(day: &Day, capacity: f64, sent: &[Sent]) -> f64 {
    let over = |first: usize| {
        let from = sent[first].at;
        let got: f64 = sent[first..].iter().take_while(|s| s.at < from + FALL).map(|s| s.work.max(1.0)).sum();
        let budget = day.rules.overload_multiple * day.present(from) * capacity * FALL;
        got / (budget + 2.0 * budget.sqrt() + 2.0)
    };
    (0..sent.len()).map(over).fold(0.0, f64::max)
}

#[rstest]
#[case(1)]
#[case(5)]
#[case(30)]
fn a_tier_that_starts_with_its_proxies_gets_calls_while_it_warms(#[case] copies: usize) {
    let seeds = 1..=10;
    let mut calls = 0;
    for seed in seeds.clone() {
        let day = day(seed, copies);
        let seen = play(&day);
        for sent in &seen.sent {
            let fullest = fullest(&day, seen.capacity, sent);
            assert!(fullest <= 1.0, "seed {seed}: a cold backend gets {fullest:.2} of what it may");
            calls += sent.iter().filter(|s| s.told).count();
        }
    }
    let each = calls as f64 / (seeds.count() * BACKENDS) as f64;
    assert!(each >= 1.0, "{each:.2} calls to each backend while it is cold");
}
