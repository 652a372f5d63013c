//! The proxy that a route table acts on and that reports tell of.

use crate::route_table::{ExclusionReason, Revision, Weights};
use std::collections::BTreeMap;

/// Requests that have ended since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// All of them.
    pub requests: u64,
    /// Those refused.
    pub refused: u64,
    /// Those failed.
    pub failed: u64,
}

/// Calls of a window.
#[derive(Default, Clone, Copy, Debug)]
pub struct Tally {
    /// Sent.
    pub calls: u64,
    /// Answered with an error, or not answered.
    pub errors: u64,
}

/// What the client needs of a proxy: it puts tables in force there, and reports from it.
pub trait RoutedProxy {
    /// Weighs the backends by another table from now on.
    fn put_in_force(&self, revision: Revision, weights: Weights);
    /// Each listed backend's weight as it is in force, by name.
    fn weights(&self) -> BTreeMap<String, f64>;
    /// Digest of the weights in force. That of the table is given only if each weight is the table's.
    fn digest(&self) -> String;
    /// Which backends get less now than their weights say, and why.
    fn left_out(&self) -> BTreeMap<String, ExclusionReason>;
    /// Version of the list that is held.
    fn list_version(&self) -> u64;
    /// The calls counted since the last time, by backend.
    fn drain_calls(&self) -> BTreeMap<String, Tally>;
    /// Requests since the start.
    fn totals(&self) -> Totals;
}
