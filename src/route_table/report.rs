//! The report that a proxy sends every few seconds: one window of its requests and calls, and the table
//! that it has in force.
//!
//! Its JSON form is a contract between proxies and registries of different versions.

use super::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of backends in each map of a report.
pub const MAX_REPORTED: usize = 1024;
/// Maximum number of members in a report; the next report carries the next ones.
pub const MAX_WITNESSED: usize = 16;

/// A proxy's report on one window. Reports may be late, repeated, out of order or lost; `generation` and
/// `number` give their order.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Name of the proxy: `membership.name`, or the proxy's own name where there is no membership.
    pub name: String,
    /// Start of the process, Unix time in microseconds. A later start is a new process with the same name.
    pub generation: u64,
    /// Number of the report, counted from 1 in each generation.
    pub number: u64,
    /// Zone of the proxy.
    pub zone: String,
    /// Version of the proxy's list of backends.
    pub list_version: u64,
    /// Revision of the table that the proxy has in force; 0 before the first table.
    pub revision: Revision,
    /// Digest of the weights that the proxy's backend selection uses, computed from them for this report.
    pub digest: String,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Number of requests that ended in the window.
    pub requests: u64,
    /// Number of requests that ended in the window and were refused.
    pub refused: u64,
    /// Number of requests that ended in the window and failed.
    pub failed: u64,
    /// Number of calls sent in the window, by backend. Every backend that could have received one is listed,
    /// also with 0 calls.
    pub calls: BTreeMap<String, u64>,
    /// Number of calls in the window that ended with an error or without an answer, by backend.
    pub errors: BTreeMap<String, u64>,
    /// Backends that received fewer calls than their weight implies, with the reason.
    pub left_out: BTreeMap<String, ExclusionReason>,
    /// Number of live proxies of the tier by the proxy's membership, itself included; 0 without membership.
    pub alive: u32,
    /// State of some other proxies by the proxy's membership, dead ones included. Each report continues where
    /// the previous one stopped, so that all of them are reported in turn.
    pub members: Vec<Witness>,
}

/// Why a backend receives fewer calls than its weight implies.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// The backend is ejected, for errors, slowness or silence.
    Ejected,
    /// The backend is warming up.
    Cold,
    /// The backend is marked as draining in the list.
    Draining,
    /// The backend is outside of this proxy's subset.
    Subset,
    /// The backend is slower than the others.
    Slow,
}

/// A proxy as the membership of another one sees it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Witness {
    /// Name of the proxy that is seen.
    pub name: String,
    /// Generation of the proxy that is seen.
    pub generation: u64,
    /// Whether the proxy is seen as alive.
    pub alive: bool,
}
