//! Interface through which discovery passes on the endpoint list.

use crate::client::list::EndpointEntry;
use crate::interface::ListKind;

/// Receives the endpoint list and its updates from the watch; implemented by the proxy's engine.
pub trait EndpointListener {
    /// Applies a full list, or an update to the last applied list; `version` is the list's version afterwards.
    fn apply(&self, kind: ListKind, version: u64, entries: Vec<EndpointEntry>);
    /// Handles a failed call. Called only where lists are polled on demand: there the listener decides when to poll
    /// again.
    fn poll_failed(&self);
    /// Returns whether the listener needs the full list again, and clears that request. Called once before each poll.
    fn take_resync_request(&self) -> bool;
}
