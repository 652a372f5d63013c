//! Changes and renewals of entries, as stored in the log and the snapshot.
//!
//! The order of the fields is the order of the JSON keys on disk.

use super::Entry;
use serde::{Deserialize, Serialize};

/// An entry as of a version of the list.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Version at which the entry changed.
    pub seq: u64,
    /// The entry after the change.
    pub entry: Entry,
    /// Time to live without a renewal, in milliseconds. Records written before this field existed mean one minute.
    #[serde(default = "default_ttl_ms")]
    pub ttl_ms: u64,
}

fn default_ttl_ms() -> u64 {
    60_000
}

/// An update of an entry: a change or a renewal.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Update {
    /// A change of the entry; it has a new version.
    Change(Change),
    /// A renewal with a different TTL; it has no version.
    Renewal {
        /// Host name of the renewed entry.
        host: String,
        /// New TTL, in milliseconds.
        ttl_ms: u64,
    },
}
