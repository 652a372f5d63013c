//! The time that decisions go by.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes back.
pub struct Clock {
    start: Instant,
    unix_ms: u64,
}

impl Clock {
    /// From the system's clock on.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    /// In milliseconds.
    pub fn now(&self) -> u64 {
        self.unix_ms + self.start.elapsed().as_millis() as u64
    }
}
