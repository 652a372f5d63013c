//! Lists as they are answered.

use super::Entry;
use serde::Serialize;

/// The list of a service, or the changes to it, as a watch answers it (PROTOCOL, "Discovery").
#[derive(Serialize, Debug, PartialEq)]
pub struct Page<'a> {
    /// The version that the list is at.
    pub seq: u64,
    /// Whether this is the whole list.
    pub whole: bool,
    /// Its entries, in the order of their last changes.
    pub hosts: Vec<&'a Entry>,
}
