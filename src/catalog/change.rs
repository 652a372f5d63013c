//! Changes and renewals of entries, as the log and the snapshot hold them. The order of fields is the order on disk.

use super::Entry;
use serde::{Deserialize, Serialize};

/// An entry as of a version.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version of the change.
    pub seq: u64,
    /// The entry as it is from this version on.
    pub entry: Entry,
    /// How long the entry lives without renewal, in milliseconds. Records from before it was stored mean one minute.
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
}

fn default_ttl_ms() -> u64 {
    60_000
}

/// An update of an entry.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Update {
    /// A change, which is a new version.
    Change(Change),
    /// A renewal with another TTL, which is no new version.
    Renewal {
        /// The entry's host.
        host: String,
        /// The new TTL, in milliseconds.
        ttl_ms: u64,
    },
}
