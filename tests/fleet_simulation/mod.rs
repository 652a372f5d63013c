//! A whole fleet on a simulated clock: a balancer for each instance, Poisson clients, backends with queues,
//! some of which restart cold. Records what all instances together send to each cold backend.

mod fleet;

use fleet::Fleet;
use load_balancer::interface::Rules;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// When the cold backends have restarted; the fleet has served for most of the time before.
pub const RESTART_MS: f64 = 10_000.0;

/// The settings of one simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub seed: u64,
    pub instances: usize,
    pub backends: usize,
    /// Number of backends that restart, the first of the list.
    pub cold_backends: usize,
    /// How long they are unreachable before the restart.
    pub removed_ms: f64,
    pub rules: Rules,
    /// Work offered before the restart over the capacity of the backends.
    pub utilization: f64,
    /// Factor on the request rate after the restart.
    pub load_factor: f64,
    /// Requests a second of a typical instance.
    pub requests_per_s: f64,
    /// Share of the instances that start when the cold backends do.
    pub new_instance_share: f64,
    /// Share of the instances that learn of the restart only after `fleet::MAX_LIST_DELAY_MS`.
    pub stale_list_share: f64,
    /// How long after the restart the other backends are removed; 0 if they stay.
    pub warm_removed_after_ms: f64,
    /// Whether one backend answers every call with an error.
    pub has_failing_backend: bool,
    /// How long the cold backends are observed.
    pub observed_ms: f64,
}

/// A call sent to a cold backend.
#[derive(Debug, Clone, Copy)]
pub struct SentCall {
    pub after_restart_ms: f64,
    /// In units of the mean work of a request.
    pub work: f64,
    /// Whether the sender knew of the restart.
    pub sender_informed: bool,
}

/// What a simulation has recorded.
pub struct Observations {
    /// The calls to each cold backend, in the order of time.
    pub sent: Vec<Vec<SentCall>>,
    /// Requests a millisecond that a warm backend can serve.
    pub capacity: f64,
}

/// Runs the simulation; the backends from 1 to `cold_backends` are those that restart.
pub fn simulate(scenario: &Scenario) -> Observations {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let heavy_instances = (scenario.instances / 10).max(1);
    let rate_of = |i: usize, rng: &mut StdRng| {
        let factor = if i % scenario.instances.div_ceil(heavy_instances) == 1 {
            3.0 + 3.0 * rng.random::<f64>()
        } else {
            1.0
        };
        scenario.requests_per_s * factor * (0.5 + rng.random::<f64>()) / 1000.0
    };
    let rates: Vec<f64> = (0..scenario.instances).map(|i| rate_of(i, &mut rng)).collect();
    let capacity = rates.iter().sum::<f64>() / (scenario.backends as f64 * scenario.utilization);
    let observations = Observations { sent: vec![Vec::new(); scenario.cold_backends], capacity };
    let mut fleet = Fleet::new(scenario, rng, rates, observations);
    fleet.run();
    fleet.observations
}

impl Scenario {
    /// The fraction of its full capacity that a cold backend has at a time after its restart.
    pub fn capacity_fraction(&self, after_restart_ms: f64) -> f64 {
        let warm_up_progress = (after_restart_ms / self.rules.warm_up_ms).min(1.0);
        self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * warm_up_progress
    }
}
