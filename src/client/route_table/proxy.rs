//! What the client needs of the proxy: it puts tables in force there and reads the counts for its reports.

use crate::route_table::{ExclusionReason, Revision, Weights};
use std::collections::BTreeMap;

/// Requests that have ended since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestTotals {
    /// All requests.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Calls to one backend in a window.
#[derive(Default, Clone, Copy, Debug)]
pub struct CallCounts {
    /// Calls sent.
    pub calls: u64,
    /// Calls that ended with an error or without an answer.
    pub errors: u64,
}

/// The proxy whose selection follows the route table.
pub trait RoutedProxy {
    /// Uses the weights of another table from now on.
    fn put_in_force(&self, revision: Revision, weights: Weights);
    /// The weight in force of each listed backend, by name.
    fn weights(&self) -> BTreeMap<String, f64>;
    /// Digest of the weights that the selection uses; it equals that of the table only if every weight is the
    /// table's. The registry raises `diverged` where it does not.
    fn digest(&self) -> String;
    /// The backends that get fewer calls now than by their weights, and why.
    fn left_out(&self) -> BTreeMap<String, ExclusionReason>;
    /// Version of the list of backends in use.
    fn list_version(&self) -> u64;
    /// The calls since the last call of this function, by backend.
    fn drain_calls(&self) -> BTreeMap<String, CallCounts>;
    /// The requests that have ended since the start.
    fn totals(&self) -> RequestTotals;
}
