//! Requests to the writer thread, and its replies.

use crate::lease::{LeaseDecision, LeaseError, LeaseRequest};
use crate::route_table::TooLong;
use load_balancer::catalog::{Entry, ServiceName};
use load_balancer::route_table::{Proposal, ProposalError, RouteRecord};
use serde::Deserialize;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::oneshot;

/// The outcome of a write that succeeded. Its records are on disk; a renewal of a lease with the same TTL has none.
#[derive(Clone, Debug)]
pub(crate) enum WriteOutcome {
    /// The entries are stored.
    Entries {
        /// Version of their service from which on the entries are visible.
        seq: u64,
    },
    /// A lease was granted, renewed or released.
    Lease(LeaseDecision),
    /// A proposal was accepted and became this record.
    Proposal(Box<RouteRecord>),
}

/// Error for a write that failed, of which nothing is on disk. The messages are answered to the caller.
#[derive(Error, Clone, Debug)]
pub(crate) enum WriteError {
    /// The records could not be written or synced.
    #[error("storage: {0}")]
    Storage(String),
    /// The lease request was rejected.
    #[error(transparent)]
    Lease(LeaseError),
    /// The fencing token is not that of the duty's current holder.
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

/// A write that a caller requests.
pub(crate) enum WriteOperation {
    /// Registers, renews or deletes entries of a service.
    Entries {
        /// Service of the entries.
        service: ServiceName,
        /// Entries to store; a `DELETED` one removes its host from the list.
        entries: Vec<Entry>,
        /// Time to live of each entry without a renewal.
        ttl: Duration,
        /// Duty that the caller must hold for the write; `None` if it needs none.
        fence: Option<Fence>,
    },
    /// Acquires, renews or releases a lease.
    Lease(LeaseRequest),
    /// Proposes a new route table.
    Proposal {
        /// Proposed route table.
        proposal: Proposal,
        /// Duty that the caller must hold for the proposal.
        fence: Fence,
    },
}

/// A duty that the caller of a write must hold. The write is rejected unless the token is that of the duty's current
/// holder.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fence {
    /// Name of the duty.
    pub(crate) duty: String,
    /// Fencing token of the caller's lease on the duty.
    pub(crate) token: u64,
}

/// The channel on which the caller of a write waits for the reply.
pub(crate) type ReplySender = oneshot::Sender<Result<WriteOutcome, WriteError>>;

/// A write that is sent to the writer thread.
pub(crate) struct WriteRequest {
    /// Operation to perform.
    pub(crate) operation: WriteOperation,
    /// Channel for the reply.
    pub(crate) reply: ReplySender,
}
