//! Lists as they are answered to proxies.

use super::Entry;
use serde::Serialize;

/// The list of a service, or the changes to it, as a watch answers it (PROTOCOL, "Discovery"). The order of fields is
/// that of the JSON keys.
#[derive(Serialize, Debug, PartialEq)]
pub struct Page<'a> {
    /// The version of the list.
    pub seq: u64,
    /// Whether this is the full list, and not the changes after a version.
    #[serde(rename = "whole")]
    pub is_full_list: bool,
    /// The entries, in the order of their last changes.
    pub hosts: Vec<&'a Entry>,
}
