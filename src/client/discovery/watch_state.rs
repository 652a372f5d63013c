//! Where the endpoint list is polled, and from which version on.
//!
//! Owned by one watch over a set of registries. It holds the failover among them and the version of the list that the
//! listener has, with the registry that gave it.

use crate::client::backoff::BackoffBounds;
use crate::client::list::ListPage;
use crate::client::registry::{CallError, EndpointFailover};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// The version of the list that is held, and the registry that gave it.
#[derive(Clone, Copy)]
struct HeldVersion {
    registry: SocketAddr,
    version: u64,
}

/// The registry to poll, and the version to resume from.
///
/// Each registry has a history of its own, so that a version means something only to the registry that gave it.
pub(super) struct WatchState {
    failover: EndpointFailover,
    held: Option<HeldVersion>,
}

impl WatchState {
    /// Holds no list yet; begins at the first of `addresses`.
    pub(super) fn new(addresses: Vec<SocketAddr>, backoff: BackoffBounds) -> Self {
        WatchState { failover: EndpointFailover::new("discovery", addresses, backoff), held: None }
    }

    /// The registry to poll now.
    pub(super) fn address(&self) -> SocketAddr {
        self.failover.address()
    }

    /// Whether no call has succeeded since the last failure.
    pub(super) fn is_failing(&self) -> bool {
        self.failover.is_failing()
    }

    /// The version to watch from; none if the full list has to be polled.
    pub(super) fn resume_version(&self) -> Option<u64> {
        self.held.filter(|held| held.registry == self.address()).map(|held| held.version)
    }

    /// Forgets the version that is held, so that the next call asks for the full list.
    pub(super) fn resync(&mut self) {
        self.held = None;
    }

    /// Checks that an answer continues the list that is held, and holds its version if it does.
    ///
    /// Failure: a registry that lost its data begins another history at a lower version, and its updates would be
    /// applied to a list that they don't belong to. A version below the held one shows this: such an update is an
    /// error and the full list is asked for, while a full list of the new history is accepted.
    pub(super) fn accept(&mut self, page: &ListPage) -> Result<(), CallError> {
        let resumed = self.resume_version();
        match resumed {
            None if !page.is_full => return Err(CallError::UnexpectedUpdate),
            Some(held) if page.version < held && !page.is_full => {
                self.resync();
                return Err(CallError::VersionWentBack { held, received: page.version });
            }
            Some(held) if page.version < held => {
                warn!("discovery: new history, version {} after {held}", page.version);
            }
            _ => {}
        }
        if self.failover.record_success() {
            let how = resumed.map_or("the whole list anew".into(), |held| format!("on from version {held}"));
            info!("discovery: {} answers, {how}", self.address());
        }
        self.held = Some(HeldVersion { registry: self.address(), version: page.version });
        Ok(())
    }

    /// Records a failed call; returns the delay before the next one, which may go to another registry.
    pub(super) fn record_failure(&mut self, error: &CallError) -> Duration {
        self.failover.record_failure(error)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/watch_state.rs"]
mod tests;
