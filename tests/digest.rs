//! The decisions of the module, bit for bit: a digest of all actions over random lives with up to some hundred backends,
//! of which many are cold, ejected, draining or suspected to be removed. Work that is only to make the module quicker leaves it as it
//! is; a change of the decisions themselves records a new one, and its commit says so.

#[path = "digest/conditions.rs"]
mod conditions;
#[path = "digest/life.rs"]
mod life;

use conditions::Conditions;
use life::Life;
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Lives of a group; each has its own seed.
const LIVES: u64 = 8;

/// Digest of all lives of a group.
fn digest(group: u64, conditions: impl Fn(&mut Conditions)) -> String {
    let mut digest = Sha256::new();
    for seed in 0..LIVES {
        let mut drawn = Conditions::draw(group * 1000 + seed);
        conditions(&mut drawn);
        digest.update(Life::new(drawn).run());
    }
    let bytes = digest.finalize();
    bytes[..8].iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes it");
        text
    })
}

#[test]
fn decisions_over_random_lives_are_the_recorded_ones() {
    assert_eq!(digest(1, |_| {}), "6fedda5e87cc0267");
}

#[test]
fn decisions_where_most_backends_are_cold_are_the_recorded_ones() {
    assert_eq!(digest(2, |c| (c.cold_share, c.restarts) = (0.8, 20)), "048012bcce76756b");
}

#[test]
fn decisions_where_many_backends_fail_are_the_recorded_ones() {
    assert_eq!(digest(3, |c| c.faulty_share = 0.4), "42a6f666bff00596");
}

#[test]
fn decisions_where_crossing_zones_costs_are_the_recorded_ones() {
    assert_eq!(digest(4, |c| (c.zones, c.settings.goal.cross_zone_price) = (3, 0.2)), "524f6bb7efcc6c43");
}

#[test]
fn decisions_where_removals_are_suspected_are_the_recorded_ones() {
    assert_eq!(
        digest(5, |c| (c.losses, c.settings.list_guard.panic_threshold) = (15, 0.5)),
        "06cd5d6d5d5c1add"
    );
}

#[test]
fn decisions_where_weights_differ_are_the_recorded_ones() {
    assert_eq!(digest(6, |c| (c.weighted, c.tables) = (true, 20)), "e2cb12887933d6bb");
}
