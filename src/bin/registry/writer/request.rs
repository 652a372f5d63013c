//! Requests to the writer thread, and its replies.

use crate::lease::{LeaseDecision, LeaseError, LeaseRequest};
use crate::route_table::TooLong;
use load_balancer::catalog::{Entry, ServiceName};
use load_balancer::route_table::{Proposal, ProposalError, RouteRecord};
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// A write that was done. What it had to write is on disk; a renewal of a lease with the same TTL writes nothing.
#[derive(Clone, Debug)]
pub(crate) enum WriteOutcome {
    /// The entries are visible from this version of their service on.
    Entries {
        /// The version.
        seq: u64,
    },
    /// A lease was granted, renewed or released.
    Lease(LeaseDecision),
    /// A proposal was accepted; the record that it became.
    Proposal(Box<RouteRecord>),
}

/// Why a write was not done. Nothing of it is on disk. The texts are answered to the caller.
#[derive(Error, Clone, Debug)]
pub(crate) enum WriteError {
    /// The records could not be written or synced.
    #[error("storage: {0}")]
    Storage(String),
    /// The lease request was rejected.
    #[error(transparent)]
    Lease(LeaseError),
    /// The fencing token is not that of the duty's present holder.
    #[error("fence: not the token of the duty's present holder")]
    Fenced,
    /// The proposal was rejected.
    #[error(transparent)]
    Proposal(ProposalError),
    /// The proposal's record would be too long to be read again from the log.
    #[error(transparent)]
    ProposalTooLong(TooLong),
    /// This registry does not host a route table.
    #[error("the route table is not hosted here")]
    NoRouteTable,
}

/// What a caller wants to be written.
pub(crate) enum WriteOperation {
    /// Registers, renews or deletes entries of a service.
    Entries {
        /// The service.
        service: ServiceName,
        /// The entries; a `DELETED` one takes its host off the list.
        entries: Vec<Entry>,
        /// How long each entry lives without renewal.
        ttl: Duration,
        /// The duty in whose name the write is done, if any.
        fence: Option<Fence>,
    },
    /// Acquires, renews or releases a lease.
    Lease(LeaseRequest),
    /// Proposes another route table.
    Proposal {
        /// The proposal.
        proposal: Proposal,
        /// The duty in whose name it is made.
        fence: Fence,
    },
}

/// The duty in whose name a write is done. The write is rejected unless the token is that of the duty's present holder.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fence {
    /// The duty.
    pub(crate) duty: String,
    /// The token of the caller's lease on it.
    pub(crate) token: u64,
}

/// Where the reply to a write goes.
pub(crate) type ReplySender = oneshot::Sender<Result<WriteOutcome, WriteError>>;

/// A write on its way to the writer thread.
pub(crate) struct WriteRequest {
    /// What is to be written.
    pub(crate) operation: WriteOperation,
    /// Where the reply goes.
    pub(crate) reply: ReplySender,
}
