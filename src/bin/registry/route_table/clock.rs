//! The clock of the route table's decisions.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never decreases. It is read from the system clock once and advances by the monotonic clock, so that
/// setting the system clock neither ends a rollout's stage early nor delays it.
pub(super) struct Clock {
    start: Instant,
    start_unix_ms: u64,
}

impl Clock {
    /// Starts the clock at the system's present time.
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_unix_ms: unix.as_millis() as u64 }
    }

    /// The present Unix time in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.start_unix_ms + self.start.elapsed().as_millis() as u64
    }
}
