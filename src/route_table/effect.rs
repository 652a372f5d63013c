//! The return values of [`Control`](super::Control): the effects that its host carries out, and the results
//! of the host's calls.

use super::{Finding, Revision, RouteRecord, Table};

/// An action that the host carries out for [`Control`](super::Control).
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write the record to disk, then [`Control::apply`](super::Control::apply) it, or
    /// [`Control::discard_pending`](super::Control::discard_pending) if that failed.
    Persist(Box<RouteRecord>),
    /// Evaluate a proposal against the table in force by a replay, one at a time;
    /// [`Control::receive_verdict`](super::Control::receive_verdict) takes the verdict.
    Evaluate {
        /// Proposed table.
        table: Table,
        /// Table in force.
        in_force: Table,
    },
    /// Cancel the evaluation of a revision, which is superseded or must run again.
    CancelEvaluation {
        /// Revision whose evaluation is cancelled.
        revision: Revision,
    },
    /// Wake the watches: the target table of some proxy has changed.
    Publish {
        /// New value of [`Control::version`](super::Control::version).
        version: u64,
    },
    /// Log that a finding was raised.
    Raised(Finding),
    /// Log that a finding was cleared.
    Cleared(Finding),
}

/// An accepted proposal. It takes effect once its record is applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedProposal {
    /// Proposed table, with its revision.
    pub table: Table,
    /// Record that must be written before the proposer is answered.
    pub record: RouteRecord,
}

/// A verdict that was not used, since no proposal awaits it.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
#[error(
    "the verdict is of a proposal from revision {from} with digest {digest}, which is not awaited (any more)"
)]
pub struct StaleVerdict {
    /// Revision that the verdict's proposal was made from.
    pub from: Revision,
    /// Digest of the weights of the verdict's proposal.
    pub digest: String,
}
