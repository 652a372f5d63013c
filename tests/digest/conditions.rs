//! What random lives are drawn from: the settings of a copy and how much happens around it.

use load_balancer::interface::*;

/// What a life is drawn from. Rates are out of a thousand steps.
pub struct Conditions {
    pub seed: u64,
    pub settings: Settings,
    pub backends: u32,
    pub zones: u16,
    pub arrivals: usize,
    pub cold_share: f64,
    pub ill_share: f64,
    pub uneven: bool,
    pub restarts: u32,
    pub changes: u32,
    pub losses: u32,
    pub tables: u32,
    pub peers: u32,
}

fn class(aim: f64, points: f64, effect: Effect, in_order: bool) -> Class {
    Class { aim, points, effect, in_order }
}

impl Conditions {
    pub fn draw(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let dedup = |group, window| Effect::Dedup { group, window };
        let classes = vec![
            class(200.0, 1.0, Effect::Retryable, false),
            class(300.0, 5.0, Effect::Fragile, false),
            class(400.0, 2.0, dedup(Group::Zone, 700.0), false),
            class(300.0, 3.0, dedup(Group::Cell, 500.0), true),
            class(300.0, 2.0, dedup(Group::All, 600.0), false),
        ];
        let copies = 1 + rng.u32(..60);
        let most = if rng.bool() { 400 } else { 20 };
        let settings = Settings {
            copy: rng.u32(..copies),
            copies,
            tier: rng.u32(..2),
            tick: 5.0,
            over_share_worth: 0.05,
            classes,
            tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 20.0 }],
            caps: Caps { cancelling: true, retry_after: true, max_retry_after: 2000.0, try_limit: 4 },
            rules: Rules {
                cold_from: 0.13,
                cold: 7000.0,
                fall_multiple: 3.0,
                ask_within: 5000.0,
                release_within: 500.0,
                settle_after_doubt: 300.0,
            },
            goal: Goal { worst_class: 0.3, cross_zone: if rng.bool() { 0.0 } else { 0.05 } },
            list_guard: ListGuard { panic_threshold: if rng.bool() { 0.0 } else { 0.2 }, hold: 3000.0 },
            ..Settings::default()
        };
        Conditions {
            seed,
            settings,
            backends: 3 + rng.u32(..most),
            zones: 1 + rng.u16(..4),
            arrivals: 1 + rng.usize(..8),
            cold_share: 0.2,
            ill_share: 0.1,
            uneven: rng.bool(),
            restarts: 5,
            changes: 40,
            losses: 2,
            tables: 3,
            peers: 3,
        }
    }
}
