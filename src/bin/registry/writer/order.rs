//! What callers want of the writer, and what they are told.

use crate::lease::{Ask, Lease, Refused};
use crate::route_table::TooLong;
use load_balancer::catalog::{Entry, ServiceName};
use load_balancer::route_table::{Proposal, ProposalError as NoProposal, RouteRecord};
use serde::Deserialize;
use std::time::Duration;
use tokio::sync::oneshot;

/// What was done, once it is on disk.
#[derive(Clone, Debug)]
pub enum Done {
    /// Entries are visible from this version of their service on.
    Stored(u64),
    /// A lease was granted, renewed or released.
    Lease(Lease),
    /// A proposal was taken.
    Routes(Box<RouteRecord>),
}

/// Why nothing was done.
#[derive(Clone, Debug)]
pub enum Failed {
    /// The disk refused.
    Storage(String),
    /// A lease is another's.
    Lease(Refused),
    /// The token with a write is not that of its duty's present holder.
    Fenced,
    /// A proposal that can't be taken.
    Routes(NoProposal),
    /// A proposal that can't be written.
    TooLong(TooLong),
    /// The route table is not hosted here.
    NoRoutes,
}

/// What a caller wants written.
pub enum Want {
    /// Entries to store.
    Entries {
        /// Of which service.
        service: ServiceName,
        /// The entries; a `DELETED` one takes its name off the list.
        entries: Vec<Entry>,
        /// How long each lives without renewal.
        ttl: Duration,
        /// In whose name: refused unless that is the present holder.
        fence: Option<Fence>,
    },
    /// A lease.
    Lease(Ask),
    /// A proposal of another route table, in the name of who holds that duty.
    Routes {
        /// The proposal.
        proposal: Proposal,
        /// Refused unless that is the present holder.
        fence: Fence,
    },
}

/// The duty that a write is done for, and the token of who does it.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    /// The duty.
    pub duty: String,
    /// The token of its grant.
    pub token: u64,
}

/// A want, and where its answer goes.
pub struct Order {
    /// The want.
    pub want: Want,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Result<Done, Failed>>,
}
