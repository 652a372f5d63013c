//! What happens to the entries of a service.

use super::Entry;
use serde::{Deserialize, Serialize};

/// A change with its version.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Its version.
    pub seq: u64,
    /// The entry as it is from this version on.
    pub entry: Entry,
    /// How long it lives without renewal, in milliseconds.
    #[serde(default = "minute")]
    pub ttl_ms: u64,
}

fn minute() -> u64 {
    60_000
}

/// What happens to an entry.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Update {
    /// A change: a new version.
    Change(Change),
    /// A renewal with another TTL, which is no new version.
    Renewal {
        /// Whose.
        host: String,
        /// The TTL from now on, in milliseconds.
        ttl_ms: u64,
    },
}
