//! What [`Control`](super::Control) returns to its host: the effects to carry out, and the answers to its
//! calls.

use super::{Finding, Revision, RouteRecord, Table};

/// What the host must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write the record to disk, then [`Control::apply`](super::Control::apply) it, or
    /// [`Control::discard_pending`](super::Control::discard_pending) if that failed.
    Persist(Box<RouteRecord>),
    /// Evaluate a proposal against the table in force by a replay, one at a time;
    /// [`Control::receive_verdict`](super::Control::receive_verdict) takes the verdict.
    Evaluate {
        /// The proposed table.
        table: Table,
        /// The table in force.
        in_force: Table,
    },
    /// Cancel the evaluation of that revision: it is superseded, or must be run again.
    CancelEvaluation {
        /// The revision that was evaluated.
        revision: Revision,
    },
    /// Wake the watches: some proxy should have another table than before.
    Publish {
        /// [`Control::version`](super::Control::version) from now on.
        version: u64,
    },
    /// Log that a finding was raised.
    Raised(Finding),
    /// Log that a finding was cleared.
    Cleared(Finding),
}

/// A proposal that was accepted. It counts once its record is applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedProposal {
    /// Its table, with its revision.
    pub table: Table,
    /// The record to write before the proposer is answered.
    pub record: RouteRecord,
}

/// Why a verdict was not used.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
#[error(
    "the verdict is of a proposal from revision {from} with digest {digest}, which is not awaited (any more)"
)]
pub struct StaleVerdict {
    /// The revision that the proposal was made from.
    pub from: Revision,
    /// Digest of the proposal's weights.
    pub digest: String,
}
