//! Exponential backoff with jitter, for the control plane's client.
//!
//! A task that retries failed calls owns one [`Backoff`], takes a delay from it before each retry and resets it after a
//! success. A [`Backoff`] stores only its current delay; the caller sleeps.

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// Range of a backoff's delays before jitter, which adds up to the delay itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffBounds {
    /// Shortest delay, used before the first retry.
    pub min: Duration,
    /// Longest delay, at which the growth stops.
    pub max: Duration,
}

/// Endless sequence of delays that double from `min` to `max`.
///
/// Clients that lose a registry at the same moment would retry at the same moment, and their retries would overload it
/// when it returns. Jitter of up to the delay itself, drawn for each delay, spreads the retries over time.
pub struct Backoff {
    bounds: BackoffBounds,
    delays: ExponentialBackoff,
}

impl Backoff {
    /// Creates a backoff that starts at the shortest delay.
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

    /// Returns the delay before the next retry, with jitter.
    pub fn next_delay(&mut self) -> Duration {
        self.delays.next().unwrap_or(self.bounds.max)
    }

    /// Returns to the shortest delay, after a success.
    pub fn reset(&mut self) {
        *self = Backoff::new(self.bounds);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client/backoff.rs"]
mod tests;
