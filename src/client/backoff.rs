//! Exponential backoff with jitter, for the control plane's client.
//!
//! Whoever retries a failed call owns one [`Backoff`], takes a delay from it before each retry and resets it after a
//! success. It counts nothing but its own position between the bounds; the caller does the waiting.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// The range of a backoff's delays before jitter, which adds up to as much again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffBounds {
    /// The first delay.
    pub min: Duration,
    /// The longest delay.
    pub max: Duration,
}

/// Delays that double from `min` to `max` and never end.
///
/// Failure: clients that lose one registry at the same moment retry at the same moment, and their retries overload it
/// when it returns. Jitter of up to once the delay, drawn anew for each, spreads them over time.
pub struct Backoff {
    bounds: BackoffBounds,
    delays: ExponentialBackoff,
}

impl Backoff {
    /// A backoff that begins at the shortest delay.
    pub fn new(bounds: BackoffBounds) -> Self {
        let delays = ExponentialBuilder::default()
            .with_min_delay(bounds.min)
            .with_max_delay(bounds.max)
            .with_factor(2.0)
            .with_jitter()
            .without_max_times()
            .build();
        Backoff { bounds, delays }
    }

    /// The delay before the next retry, with jitter.
    pub fn next_delay(&mut self) -> Duration {
        self.delays.next().unwrap_or(self.bounds.max)
    }

    /// Begins at the shortest delay again, after a success.
    pub fn reset(&mut self) {
        *self = Backoff::new(self.bounds);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client/backoff.rs"]
mod tests;
