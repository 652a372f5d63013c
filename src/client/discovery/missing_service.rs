//! Warning for a service without backends, most often caused by a misspelled name in the configuration.

use crate::catalog::ServiceName;
use tracing::warn;

/// Logs a warning each time that a service's list becomes empty.
#[derive(Default)]
pub(super) struct MissingServiceWarning {
    warned: bool,
}

impl MissingServiceWarning {
    /// Records a full list of the service; returns whether the warning was logged.
    pub(super) fn record_full_list(&mut self, service: &ServiceName, is_empty: bool) -> bool {
        let logs_warning = is_empty && !self.warned;
        if logs_warning {
            warn!("discovery: service {service} has no backends");
        }
        self.warned = is_empty;
        logs_warning
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/missing_service.rs"]
mod tests;
