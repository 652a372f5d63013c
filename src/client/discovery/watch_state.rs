//! State of a watch: the registry in use and the held version of the endpoint list.
//!
//! Each watch over a set of registries owns one [`WatchState`], with the failover among them, the version of the list
//! that the listener has, and the registry that sent it.

use super::calls_in_flight::ListRequest;
use super::schedule::WATCH_WAIT;
use crate::client::backoff::BackoffBounds;
use crate::client::list::ListPage;
use crate::client::registry::{CallError, EndpointFailover};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Version of the held list, and the registry that sent it.
#[derive(Clone, Copy)]
struct HeldVersion {
    registry: SocketAddr,
    version: u64,
}

/// Registry to poll, and version to resume from.
///
/// Each registry numbers its own history, so a version is valid only at the registry that sent it.
pub(super) struct WatchState {
    failover: EndpointFailover,
    held: Option<HeldVersion>,
}

impl WatchState {
    /// Creates a state without a held list that starts at the first of `addresses`.
    pub(super) fn new(addresses: Vec<SocketAddr>, backoff: BackoffBounds) -> Self {
        WatchState { failover: EndpointFailover::new("discovery", addresses, backoff), held: None }
    }

    /// Returns the address of the registry to poll.
    fn address(&self) -> SocketAddr {
        self.failover.address()
    }

    /// Returns whether no call has succeeded since the last failure.
    fn is_failing(&self) -> bool {
        self.failover.is_failing()
    }

    /// Returns the version to watch from, or `None` if the full list has to be polled.
    fn resume_version(&self) -> Option<u64> {
        self.held.filter(|held| held.registry == self.address()).map(|held| held.version)
    }

    /// Returns the next request: for the full list if no version is held, and otherwise a watch from the held version,
    /// without a wait after a failure.
    pub(super) fn next_request(&self) -> ListRequest {
        let after = self.resume_version();
        let is_immediate = after.is_none() || self.is_failing();
        let wait = if is_immediate { Duration::ZERO } else { WATCH_WAIT };
        ListRequest { registry: self.address(), after, wait }
    }

    /// Discards the held version, so that the next call requests the full list.
    pub(super) fn resync(&mut self) {
        self.held = None;
    }

    /// Checks that the answer to `request` continues the held list, and if so records its version.
    ///
    /// A registry that lost its data starts a new history at a lower version, and its updates would be applied to a
    /// list of the old history. A version below the held one reveals this: such an update is an error and causes a
    /// resync, while a full list of the new history is accepted.
    pub(super) fn accept(&mut self, page: &ListPage, request: ListRequest) -> Result<(), CallError> {
        let resumed = request.after;
        match resumed {
            None if !page.is_full => return Err(CallError::UnexpectedUpdate),
            Some(held) if page.version < held && !page.is_full => {
                self.resync();
                return Err(CallError::VersionWentBack { held, received: page.version });
            }
            Some(held) if page.version < held => {
                warn!(
                    "discovery: the list at {} went back from version {held} to {}; its full list replaces the held one",
                    request.registry, page.version
                );
            }
            _ => {}
        }
        self.failover.return_to(request.registry);
        if self.failover.record_success() {
            let outcome = resumed
                .map_or("received the full list".into(), |held| format!("resumed from version {held}"));
            info!("discovery: {} answers after failed calls; {outcome}", self.address());
        }
        self.held = Some(HeldVersion { registry: request.registry, version: page.version });
        Ok(())
    }

    /// Records a failed call; returns the delay before the next one, which may be to another registry.
    pub(super) fn record_failure(&mut self, error: &CallError) -> Duration {
        self.failover.record_failure(error)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/watch_state.rs"]
mod tests;
