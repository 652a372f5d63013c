//! From which version on the list is asked for, and where.

use crate::client::list::Page;
use crate::client::pauses::Bounds;
use crate::client::registry::{Fault, Rotation};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{info, warn};

/// Which registry is asked, and from which version on. Each registry has a history of its own: a version is good
/// only where it came from.
pub(super) struct Source {
    rotation: Rotation,
    /// Who gave the list that is held, and its version.
    pub(super) held: Option<(SocketAddr, u64)>,
}

impl Source {
    pub(super) fn new(addresses: Vec<SocketAddr>, pauses: Bounds) -> Self {
        Source { rotation: Rotation::new("discovery", addresses, pauses), held: None }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.rotation.address()
    }

    /// Whether its last call failed.
    pub(super) fn failing(&self) -> bool {
        self.rotation.failing()
    }

    /// The version to watch from; without one the whole list is asked for.
    pub(super) fn after(&self) -> Option<u64> {
        self.held.filter(|(from, _)| *from == self.address()).map(|(_, seq)| seq)
    }

    /// Whether an answer continues what is held. A version that went back is another history, such as that of a
    /// registry that lost its data: only a whole list of it can be taken, never its changes.
    pub(super) fn accept(&mut self, page: &Page) -> Result<(), Fault> {
        let after = self.after();
        match after {
            None if !page.whole => {
                return Err(Fault::Changes);
            }
            Some(after) if page.seq < after && !page.whole => {
                self.held = None;
                return Err(Fault::WentBack { held: after, told: page.seq });
            }
            Some(after) if page.seq < after => {
                warn!("discovery: new history, version {} after {after}", page.seq);
            }
            _ => {}
        }
        if self.rotation.answered() {
            let how = after.map_or("the whole list anew".into(), |seq| format!("on from version {seq}"));
            info!("discovery: {} answers, {how}", self.address());
        }
        self.held = Some((self.address(), page.seq));
        Ok(())
    }

    /// The pause before the next call, which may go elsewhere.
    pub(super) fn failed(&mut self, fault: &Fault) -> Duration {
        self.rotation.failed(fault)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/source.rs"]
mod tests;
