//! The warning for a service that has no backends, which most often is a misspelled name in the configuration.

use crate::catalog::ServiceName;
use tracing::warn;

/// Logs that a service has no backends, once for each time that its list becomes empty.
#[derive(Default)]
pub(super) struct MissingServiceWarning {
    warned: bool,
}

impl MissingServiceWarning {
    /// Records a full list of the service; returns whether it gave a log line.
    pub(super) fn record_full_list(&mut self, service: &ServiceName, is_empty: bool) -> bool {
        let warns = is_empty && !self.warned;
        if warns {
            warn!("discovery: service {service} has no backends");
        }
        self.warned = is_empty;
        warns
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/missing_service.rs"]
mod tests;
