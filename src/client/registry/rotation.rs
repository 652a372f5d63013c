//! Which of several registries is asked, and when it is left for the next one.

use super::Fault;
use crate::client::pauses::{Bounds, Pauses};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// Pauses after failed calls, where nothing presses.
pub const PAUSES: Bounds = [Duration::from_millis(33), Duration::from_millis(667)];
/// A registry that has failed for so long is left for the next one.
const LEAVE_AFTER: Duration = Duration::from_secs(1);

/// Which registry is asked.
pub struct Rotation {
    what: &'static str,
    addresses: Vec<SocketAddr>,
    at: usize,
    failing_since: Option<Instant>,
    /// What is wrong, as it was logged.
    said: Option<String>,
    pauses: Pauses,
}

impl Rotation {
    /// Begins at the first address; `what` it is asked for stands in the log.
    pub fn new(what: &'static str, addresses: Vec<SocketAddr>, pauses: Bounds) -> Self {
        let pauses = Pauses::new(pauses);
        Rotation { what, addresses, at: 0, failing_since: None, said: None, pauses }
    }

    /// Who is asked now.
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.at]
    }

    /// Whether it has given nothing since its last failure.
    pub fn failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// It gave what was asked for. Whether it had failed to before.
    pub fn answered(&mut self) -> bool {
        self.said = None;
        self.pauses.reset();
        self.failing_since.take().is_some()
    }

    /// The pause before the next call, which goes to the next registry if this one is silent or has failed for long.
    /// A registry that is restarted is mostly back before, and to go on there costs far less than to begin anew.
    pub fn failed(&mut self, fault: &Fault) -> Duration {
        let now = Instant::now();
        let since = *self.failing_since.get_or_insert(now);
        let fault_text = fault.to_string();
        if self.said.as_ref() != Some(&fault_text) {
            warn!("{}: {}: {fault_text}", self.what, self.address());
            self.said = Some(fault_text);
        }
        if self.addresses.len() > 1 && (matches!(fault, Fault::Silent) || now - since >= LEAVE_AFTER) {
            self.at = (self.at + 1) % self.addresses.len();
            (self.failing_since, self.said) = (Some(now), None);
            warn!("{}: moves to {}", self.what, self.address());
        }
        self.pauses.next_pause()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/registry/rotation.rs"]
mod tests;
