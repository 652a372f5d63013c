//! What a proxy reports of itself every few seconds.

use super::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most backends of which a report tells.
pub const MAX_REPORTED: usize = 1024;
/// Most members of which a report tells; each report tells of the next ones.
pub const MAX_WITNESSED: usize = 16;

/// One window of one proxy. Reports come late, twice, out of order or not at all: `generation` and `number` tell.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The proxy's name: `membership.name`, or its own where there is no membership.
    pub name: String,
    /// Its start, Unix time in microseconds; a later one is a new process under the same name.
    pub generation: u64,
    /// Counts its reports from 1.
    pub number: u64,
    /// Its zone.
    pub zone: String,
    /// Version of the list that it holds.
    pub list_version: u64,
    /// Revision of the table in force there; 0 before the first.
    pub revision: Revision,
    /// Digest of the weights that its picks use, made anew from them.
    pub digest: String,
    /// Length of the window.
    pub window_ms: u64,
    /// Requests taken in the window.
    pub requests: u64,
    /// Of them refused.
    pub refused: u64,
    /// Of them failed.
    pub failed: u64,
    /// Calls sent in the window, by backend; all that could have got one are named, also with 0.
    pub calls: BTreeMap<String, u64>,
    /// Calls of the window that a backend answered with an error or did not answer.
    pub errors: BTreeMap<String, u64>,
    /// Backends that get less than their weight says, and why.
    pub left_out: BTreeMap<String, ExclusionReason>,
    /// How many of the tier's proxies it holds for alive, itself included; 0 without membership.
    pub alive: u32,
    /// What it knows of some of the others, those found dead among them; from a place drawn by chance in each report, so
    /// that somebody tells of everybody in each window.
    pub members: Vec<Witness>,
}

/// Why a backend gets less than its weight says.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// Out of service for its errors, its slowness or its silence.
    Ejected,
    /// It started a short while ago.
    Cold,
    /// The list has it drain.
    Draining,
    /// This proxy's subset of the tier does not have it.
    Subset,
    /// It is slower than the others and gets less.
    Slow,
}

/// A member as another one sees it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Witness {
    /// Its name.
    pub name: String,
    /// Its generation.
    pub generation: u64,
    /// Whether it is held for alive.
    pub alive: bool,
}
