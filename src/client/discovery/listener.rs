//! Who the followed list is for.

use crate::client::list::Host;
use crate::interface::ListKind;

/// Takes the list of backends as it changes. The proxy's engine is one.
pub trait Listener {
    /// A list of backends, or changes to it, and the version that it leads to.
    fn list(&self, kind: ListKind, version: u64, hosts: Vec<Host>);
    /// A call failed, where the list must be asked for.
    fn list_failed(&self);
    /// Whether the whole list is wanted anew; asked once for each call.
    fn wants_whole_list(&self) -> bool;
}
