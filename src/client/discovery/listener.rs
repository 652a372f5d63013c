//! The interface to whoever uses the watched endpoint list.

use crate::client::list::EndpointEntry;
use crate::interface::ListKind;

/// Receives the endpoint list and its updates from the watch. The proxy's engine implements it.
pub trait EndpointListener {
    /// Applies a full list, or an update to the list that was applied last, and the version that results.
    fn apply(&self, kind: ListKind, version: u64, entries: Vec<EndpointEntry>);
    /// A call failed. Only called where lists are polled on demand: there the listener decides when to poll again.
    fn poll_failed(&self);
    /// Whether the listener needs the full list again; read once before each call, which clears the request.
    fn take_resync_request(&self) -> bool;
}
