//! Proposals and decisions of the route table, one a batch: the next is decided from what is on disk then.

use super::order::{Failed, Fence, Order, Want};
use crate::lease::Table;
use crate::route_table::Host;
use crate::store::State;
use load_balancer::route_table::{Proposal, RouteRecord};
use std::time::Instant;
use tracing::error;

/// What a batch decides of the route table.
#[derive(Default)]
pub struct Batch {
    /// To be written, and settled once it is.
    pub record: Option<RouteRecord>,
    /// Proposals for the next batch.
    pub later: Vec<Order>,
}

impl Batch {
    /// What time brings goes first.
    pub fn begin(host: Option<&Host>, state: &State) -> Batch {
        let record = host.and_then(|host| {
            let record = host.tick(state)?;
            if let Err(why) = Host::fits(&record) {
                error!(%why, "a decision on the route table cannot be written");
                host.settle(record, false);
                return None;
            }
            Some(record)
        });
        Batch { record, later: Vec::new() }
    }

    /// Takes a proposal, or leaves it for the next batch where this one has decided already.
    pub fn propose(
        &mut self,
        host: Option<&Host>,
        state: &State,
        leases: &Table,
        now: Instant,
        (proposal, fence): (Proposal, Fence),
    ) -> Result<RouteRecord, Failed> {
        let host = host.ok_or(Failed::NoRoutes)?;
        if !leases.holds(&fence.duty, fence.token, now) {
            return Err(Failed::Fenced);
        }
        let record = host.propose(proposal, state).map_err(Failed::Routes)?.record;
        if let Err(why) = Host::fits(&record) {
            host.settle(record, false);
            return Err(Failed::TooLong(why));
        }
        self.record = Some(record.clone());
        Ok(record)
    }

    /// Whether an order has to wait for the next batch.
    pub fn waits(&self, want: &Want) -> bool {
        matches!(want, Want::Routes { .. }) && self.record.is_some()
    }
}
