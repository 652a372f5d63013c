//! The one clock that all processes of a run share.

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    now_us() / 1000
}
