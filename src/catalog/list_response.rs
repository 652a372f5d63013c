//! Lists and deltas in the form in which they are answered to proxies.

use super::Entry;
use serde::Serialize;

/// The list of a service or a delta of it, in the form that a watch is answered (PROTOCOL, "Discovery"). The order of
/// the fields is that of the JSON keys.
#[derive(Serialize, Debug, PartialEq)]
pub struct ListResponse<'a> {
    /// Version of the list.
    pub seq: u64,
    /// True for a full list, false for the changes after a version.
    #[serde(rename = "whole")]
    pub is_full_list: bool,
    /// Entries in the order of their last changes.
    pub hosts: Vec<&'a Entry>,
}
