//! The balancer's time: `f64` milliseconds on a monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Longest time that is represented, in milliseconds: one day. Later instants and longer durations are clamped to it.
const LONGEST_MS: f64 = 86_400_000.0;

/// The balancer's monotonic clock, in milliseconds. It starts at the Unix time of the process's start, so that it
/// can be compared with the start times of backends, which are Unix times. A change of the system clock does not
/// affect it.
pub(super) struct Clock {
    started_at: Instant,
    started_at_unix_ms: f64,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), started_at_unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// Converts an instant to the balancer's milliseconds.
    pub(super) fn at(&self, instant: Instant) -> f64 {
        let since_start = instant.saturating_duration_since(self.started_at);
        self.started_at_unix_ms + since_start.as_secs_f64() * 1000.0
    }

    /// Converts the balancer's milliseconds to an instant, at most one day after the start, also for `f64::MAX`.
    pub(super) fn instant(&self, ms: f64) -> Instant {
        self.started_at + millis((ms - self.started_at_unix_ms).min(LONGEST_MS))
    }
}

/// Converts milliseconds to a duration of at most one day; a negative or non-finite number gives zero.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { (ms / 1000.0).clamp(0.0, 86_400.0) } else { 0.0 })
}
