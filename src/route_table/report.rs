//! The report that a proxy sends every few seconds: one window of its requests and calls, and the table it
//! has in force.
//!
//! Its JSON form is a contract between proxies and registries of different versions.

use super::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most backends in each map of a report.
pub const MAX_REPORTED: usize = 1024;
/// Most members in a report; the next report has the next ones.
pub const MAX_WITNESSED: usize = 16;

/// One window of one proxy. Reports may be late, repeated, out of order or lost: `generation` and `number`
/// give their order.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The proxy's name: `membership.name`, or its own where there is no membership.
    pub name: String,
    /// Start of the process, Unix time in microseconds; a later one is a new process with the same name.
    pub generation: u64,
    /// Number of the report, from 1 in each generation.
    pub number: u64,
    /// Its zone.
    pub zone: String,
    /// Version of its list of backends.
    pub list_version: u64,
    /// Revision of the table in force there; 0 before the first table.
    pub revision: Revision,
    /// Digest of the weights that its selection uses, computed from them for this report.
    pub digest: String,
    /// Length of the window, ms.
    pub window_ms: u64,
    /// Requests that ended in the window.
    pub requests: u64,
    /// Requests of these that were refused.
    pub refused: u64,
    /// Requests of these that failed.
    pub failed: u64,
    /// Calls sent in the window, by backend. Every backend that could have got one is named, also with 0
    /// calls.
    pub calls: BTreeMap<String, u64>,
    /// Calls in the window that ended with an error or without an answer, by backend.
    pub errors: BTreeMap<String, u64>,
    /// Backends that got fewer calls than by their weight, and why.
    pub left_out: BTreeMap<String, ExclusionReason>,
    /// Live proxies of the tier by its membership, itself included; 0 without membership.
    pub alive: u32,
    /// What its membership says of some other proxies, dead ones included. Each report continues where the
    /// last one stopped, so that all of them are reported in turn.
    pub members: Vec<Witness>,
}

/// Why a backend gets fewer calls than by its weight.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// It is ejected, for errors, slowness or silence.
    Ejected,
    /// It is warming up.
    Cold,
    /// It is marked as draining in the list.
    Draining,
    /// It is outside of this proxy's subset.
    Subset,
    /// It is slower than the others.
    Slow,
}

/// A proxy as the membership of another one sees it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Witness {
    /// Its name.
    pub name: String,
    /// Its generation.
    pub generation: u64,
    /// Whether it is seen as alive.
    pub alive: bool,
}
