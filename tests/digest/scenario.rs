//! The random scenario of a run: the settings of an instance and the rates of events around it.

use load_balancer::interface::*;

/// The parameters of a random run.
pub struct Scenario {
    pub seed: u64,
    pub settings: Settings,
    pub backends: u32,
    pub zones: u16,
    /// The most arrivals in a step.
    pub max_arrivals: usize,
    pub cold_share: f64,
    pub faulty_share: f64,
    pub has_weights: bool,
    /// Rates of the events, per thousand steps.
    pub restarts: u32,
    pub entry_changes: u32,
    pub list_losses: u32,
    pub route_table_changes: u32,
    pub peer_changes: u32,
}

fn class(objective_ms: f64, priority_weight: f64, idempotency: Idempotency, in_order: bool) -> Class {
    Class { latency_objective_ms: objective_ms, priority_weight, idempotency, in_order }
}

impl Scenario {
    /// Draws the parameters from a seed.
    pub fn random(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
        let dedup = |scope, dedup_window_ms| Idempotency::Keyed { scope, dedup_window_ms };
        let classes = vec![
            class(200.0, 1.0, Idempotency::Idempotent, false),
            class(300.0, 5.0, Idempotency::NonIdempotent, false),
            class(400.0, 2.0, dedup(DedupScope::Zone, 700.0), false),
            class(300.0, 3.0, dedup(DedupScope::Cell, 500.0), true),
            class(300.0, 2.0, dedup(DedupScope::All, 600.0), false),
        ];
        let instances = 1 + rng.u32(..60);
        let max_backends = if rng.bool() { 400 } else { 20 };
        let settings = Settings {
            instance_index: rng.u32(..instances),
            instance_count: instances,
            tier: rng.u32(..2),
            tick_ms: 5.0,
            over_quota_weight: 0.05,
            classes,
            tenants: vec![Tenant { quota_per_s: 500.0 }, Tenant { quota_per_s: 20.0 }],
            caps: Caps { cancelling: true, retry_after: true, max_retry_after_ms: 2000.0, max_attempts: 4 },
            rules: Rules {
                initial_capacity: 0.13,
                warm_up_ms: 7000.0,
                overload_multiple: 3.0,
                max_silence_ms: 5000.0,
                idle_close_within_ms: 500.0,
                key_settle_ms: 300.0,
            },
            goal: Goal { worst_class_weight: 0.3, cross_zone_price: if rng.bool() { 0.0 } else { 0.05 } },
            list_guard: ListGuard {
                panic_threshold: if rng.bool() { 0.0 } else { 0.2 },
                confirm_after_ms: 3000.0,
            },
            ..Settings::default()
        };
        Scenario {
            seed,
            settings,
            backends: 3 + rng.u32(..max_backends),
            zones: 1 + rng.u16(..4),
            max_arrivals: 1 + rng.usize(..8),
            cold_share: 0.2,
            faulty_share: 0.1,
            has_weights: rng.bool(),
            restarts: 5,
            entry_changes: 40,
            list_losses: 2,
            route_table_changes: 3,
            peer_changes: 3,
        }
    }
}
