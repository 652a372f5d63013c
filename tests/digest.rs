//! Bit-for-bit check of the balancer's decisions: a digest of all actions over random runs with up to several
//! hundred backends, many of which are cold, ejected, draining or suspected to be removed. An optimization
//! must leave the digests as they are; a change of the decisions records new ones, and its commit says so.

#[path = "digest/random_run.rs"]
mod random_run;
#[path = "digest/scenario.rs"]
mod scenario;

use random_run::RandomRun;
use scenario::Scenario;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// The number of random runs in a group; each has its own seed.
const RUNS: u64 = 8;

/// The digest of all runs of a group, with `adjust` applied to each scenario.
fn digest(group: u64, adjust: impl Fn(&mut Scenario)) -> String {
    let mut digest = Sha256::new();
    for seed in 0..RUNS {
        let mut scenario = Scenario::random(group * 1000 + seed);
        adjust(&mut scenario);
        digest.update(RandomRun::new(scenario).run());
    }
    let bytes = digest.finalize();
    bytes[..8].iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
        text
    })
}

#[test]
fn decisions_over_random_runs_match_the_recorded_digest() {
    assert_eq!(digest(1, |_| {}), "6fedda5e87cc0267");
}

#[test]
fn decisions_where_most_backends_are_cold_match_the_recorded_digest() {
    assert_eq!(digest(2, |s| (s.cold_share, s.restarts) = (0.8, 20)), "048012bcce76756b");
}

#[test]
fn decisions_where_many_backends_fail_match_the_recorded_digest() {
    assert_eq!(digest(3, |s| s.faulty_share = 0.4), "42a6f666bff00596");
}

#[test]
fn decisions_where_crossing_zones_has_a_price_match_the_recorded_digest() {
    assert_eq!(digest(4, |s| (s.zones, s.settings.goal.cross_zone_price) = (3, 0.2)), "524f6bb7efcc6c43");
}

#[test]
fn decisions_where_removals_are_suspected_match_the_recorded_digest() {
    assert_eq!(
        digest(5, |s| (s.list_losses, s.settings.list_guard.panic_threshold) = (15, 0.5)),
        "06cd5d6d5d5c1add"
    );
}

#[test]
fn decisions_where_weights_differ_match_the_recorded_digest() {
    assert_eq!(digest(6, |s| (s.has_weights, s.route_table_changes) = (true, 20)), "e2cb12887933d6bb");
}
