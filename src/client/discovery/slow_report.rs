//! Log of a registry that becomes slow, and of one that is no longer.

use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Lateness of answers from which a registry is reported as slow.
const SLOW_ANSWER: Duration = Duration::from_millis(500);

/// Logs a line each time that answers become late, and when they are no longer.
#[derive(Default)]
pub(super) struct SlowRegistryReport {
    is_reported: bool,
}

impl SlowRegistryReport {
    /// Records how late answers of a registry are.
    pub(super) fn record_lateness(&mut self, registry: SocketAddr, lateness: Duration) {
        let is_slow = lateness >= SLOW_ANSWER;
        if is_slow == self.is_reported {
            return;
        }
        self.is_reported = is_slow;
        if is_slow {
            warn!("discovery: {registry} is slow: an answer was {} ms late", lateness.as_millis());
        } else {
            info!("discovery: {registry} is no longer slow");
        }
    }
}
