//! Interface to the proxy, in which the client applies tables and from which it reads the counts for its reports.

use crate::route_table::{ExclusionReason, Revision, Weights};
use std::collections::BTreeMap;

/// Counts of the requests that have ended since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestTotals {
    /// Number of all requests.
    pub requests: u64,
    /// Number of requests that the proxy refused.
    pub refused: u64,
    /// Number of requests that failed.
    pub failed: u64,
}

/// Counts of the calls to one backend in a window.
#[derive(Default, Clone, Copy, Debug)]
pub struct CallCounts {
    /// Number of calls sent.
    pub calls: u64,
    /// Number of calls that ended with an error or without an answer.
    pub errors: u64,
}

/// Proxy whose selection of backends follows the route table.
pub trait RoutedProxy {
    /// Replaces the weights in force by those of another table.
    fn apply_table(&self, revision: Revision, weights: Weights);
    /// Returns the weight in force of each listed backend, by name.
    fn weights(&self) -> BTreeMap<String, f64>;
    /// Returns the digest of the weights that the selection uses. It equals the digest of the table only if every
    /// weight does; otherwise the registry raises the drift `diverged`.
    fn digest(&self) -> String;
    /// Returns the backends that currently get fewer calls than their weights imply, with the reasons.
    fn exclusions(&self) -> BTreeMap<String, ExclusionReason>;
    /// Returns the version of the endpoint list in use.
    fn list_version(&self) -> u64;
    /// Returns the counts of calls by backend, and resets them.
    fn take_call_counts(&self) -> BTreeMap<String, CallCounts>;
    /// Returns the counts of the requests that have ended since the start.
    fn totals(&self) -> RequestTotals;
}
