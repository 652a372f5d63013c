//! A whole fleet on a simulated clock: each process a module of its own, Poisson clients, backends with queues, some of
//! which come back cold. It records what each cold backend is sent by all of them together.

mod fleet;

use fleet::Fleet;
use load_balancer::interface::Rules;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// When the cold backends come back; the fleet has served for so long before.
pub const START: f64 = 10_000.0;

/// One day of a fleet.
#[derive(Debug, Clone)]
pub struct Day {
    pub seed: u64,
    pub copies: usize,
    pub backends: usize,
    /// So many of the backends come back cold, this long after they were lost.
    pub cold: usize,
    pub lost: f64,
    pub rules: Rules,
    /// Work at the usual load over what the backends can do.
    pub load: f64,
    /// The load grows by this when the cold ones are back.
    pub burst: f64,
    /// Requests a second of a usual process.
    pub rate: f64,
    /// Share of the processes that start when the cold ones do, and share that know an old list only.
    pub fresh: f64,
    pub unaware: f64,
    /// So long after the start the others leave: only the cold ones stay. 0 where they stay too.
    pub leave: f64,
    /// One backend answers with errors.
    pub bad: bool,
    /// How long the cold ones are watched.
    pub watch: f64,
}

/// What a cold backend was sent: when after its start, how much work, and whether the sender had been told of it.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub at: f64,
    pub work: f64,
    pub told: bool,
}

pub struct Seen {
    pub sent: Vec<Vec<Sent>>,
    /// Requests a millisecond that a warm backend can do.
    pub capacity: f64,
}

/// Plays the day; the backends from 1 to `cold` are those that come back.
pub fn play(day: &Day) -> Seen {
    let mut rng = StdRng::seed_from_u64(day.seed);
    let heavy = (day.copies / 10).max(1);
    let by_copy = |i: usize, rng: &mut StdRng| {
        let times = if i % day.copies.div_ceil(heavy) == 1 { 3.0 + 3.0 * rng.random::<f64>() } else { 1.0 };
        day.rate * times * (0.5 + rng.random::<f64>()) / 1000.0
    };
    let rates: Vec<f64> = (0..day.copies).map(|i| by_copy(i, &mut rng)).collect();
    let capacity = rates.iter().sum::<f64>() / (day.backends as f64 * day.load);
    let seen = Seen { sent: vec![Vec::new(); day.cold], capacity };
    let mut fleet = Fleet::new(day, rng, rates, seen);
    fleet.run();
    fleet.seen
}

impl Day {
    /// Share of its capacity that a cold backend has so long after its start.
    pub fn present(&self, after: f64) -> f64 {
        let grown = (after / self.rules.warm_up_ms).min(1.0);
        self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * grown
    }
}
