//! Time as the decision module counts it: `f64` milliseconds on a monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest time that is represented: a later instant counts as a day from the start, a longer duration as a day.
const LONGEST_MS: f64 = 86_400_000.0;

/// Milliseconds for the module on a monotonic clock. It starts at the Unix time of the process's start, so that start times
/// of backends, which are Unix times, can be compared with it. A change of the system's clock does not move it.
pub(super) struct Clock {
    started_at: Instant,
    started_at_unix_ms: f64,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), started_at_unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// The module's time at an instant.
    pub(super) fn at(&self, instant: Instant) -> f64 {
        let since_start = instant.saturating_duration_since(self.started_at);
        self.started_at_unix_ms + since_start.as_secs_f64() * 1000.0
    }

    /// The instant of a time of the module's; never later than a day from the start, also for `f64::MAX`.
    pub(super) fn instant(&self, ms: f64) -> Instant {
        self.started_at + millis((ms - self.started_at_unix_ms).min(LONGEST_MS))
    }
}

/// A duration of so many milliseconds; a number that is not finite or is negative counts as none, and a day is the most.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { (ms / 1000.0).clamp(0.0, 86_400.0) } else { 0.0 })
}
