//! What comes out of [`super::Control`].

use super::{Finding, Revision, RouteRecord, Table};

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write it; then [`Control::apply`](super::Control::apply) it, or [`Control::discard_pending`](super::Control::discard_pending).
    Persist(Box<RouteRecord>),
    /// Judge a proposal against the table in force; [`Control::receive_verdict`](super::Control::receive_verdict) takes the answer. One at a time.
    Judge {
        /// What is proposed.
        table: Table,
        /// What is in force.
        in_force: Table,
    },
    /// End the judging of that revision: it is overtaken, or to be judged anew.
    Cancel {
        /// Which.
        revision: Revision,
    },
    /// Wake the watches: somebody is to have another table than before.
    Publish {
        /// [`Control::version`](super::Control::version) from now on.
        version: u64,
    },
    /// To the log: something is wrong.
    Raised(Finding),
    /// To the log: it is no longer.
    Cleared(Finding),
}

/// A proposal that was taken. It counts once its record is applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedProposal {
    /// Its table, with its revision.
    pub table: Table,
    /// To be written before the proposer is answered.
    pub record: RouteRecord,
}

/// Why a verdict counts for nothing.
#[derive(thiserror::Error, Clone, Debug, PartialEq)]
#[error(
    "the verdict is of a proposal from revision {from} with digest {digest}, which is not awaited (any more)"
)]
pub struct StaleVerdict {
    /// What it was made from.
    pub from: Revision,
    /// Digest of the proposal.
    pub digest: String,
}
