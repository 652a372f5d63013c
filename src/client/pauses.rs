//! Pauses between tries that fail.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// The shortest and the longest pause, before chance.
pub type Bounds = [Duration; 2];

/// Pauses that double from the one bound to the other, for ever, each with up to as much again added by chance:
/// those who lost something together do not come back together.
pub struct Pauses {
    bounds: Bounds,
    left: ExponentialBackoff,
}

impl Pauses {
    /// From the shortest on.
    pub fn new(bounds: Bounds) -> Self {
        let doubling = ExponentialBuilder::default().with_min_delay(bounds[0]).with_max_delay(bounds[1]);
        let left = doubling.with_factor(2.0).with_jitter().without_max_times().build();
        Pauses { bounds, left }
    }

    /// The next one.
    pub fn next_pause(&mut self) -> Duration {
        self.left.next().unwrap_or(self.bounds[1])
    }

    /// From the shortest on again.
    pub fn reset(&mut self) {
        *self = Pauses::new(self.bounds);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client/pauses.rs"]
mod tests;
