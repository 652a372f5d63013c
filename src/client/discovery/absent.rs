//! A service that nobody is registered for: most likely a slip of the pen in a configuration.

use crate::client::service::ServiceName;
use tracing::warn;

/// Says that a service has no backends: once for each time that it has lost the last one.
#[derive(Default)]
pub(super) struct AbsentService {
    said: bool,
}

impl AbsentService {
    /// A whole list of the service came. Whether this was news worth a line.
    pub(super) fn heard(&mut self, service: &ServiceName, empty: bool) -> bool {
        let news = empty && !self.said;
        if news {
            warn!("discovery: service {service} has no backends");
        }
        self.said = empty;
        news
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/absent.rs"]
mod tests;
