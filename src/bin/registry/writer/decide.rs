//! Step "decide" of the writer: requests become the records of a batch, or errors.

use super::Writer;
use super::records::{EntryId, Registration};
use super::request::{Fence, ReplySender, WriteError, WriteOperation, WriteOutcome, WriteRequest};
use crate::lease::LeaseChange;
use crate::route_table::RouteTableService;
use load_balancer::catalog::ServiceName;
use load_balancer::route_table::{Proposal, RouteRecord};
use std::time::Instant;
use tracing::error;

/// The decisions of one batch.
#[derive(Default)]
pub(super) struct Batch {
    /// Entries that are to be stored, in the order of their requests.
    pub(super) registrations: Vec<Registration>,
    /// Entries whose TTL is over.
    pub(super) expired: Vec<EntryId>,
    /// Changes of leases, in the order of their decisions.
    pub(super) lease_changes: Vec<LeaseChange>,
    /// The decision on the route table: at most one a batch, since the next is decided from the one on disk.
    pub(super) route_decision: Option<RouteRecord>,
    /// The replies that are due once the batch is on disk.
    pub(super) replies: Vec<PendingReply>,
}

impl Batch {
    /// Whether there is nothing to write and nobody to answer.
    pub(super) fn is_empty(&self) -> bool {
        self.replies.is_empty()
            && self.expired.is_empty()
            && self.lease_changes.is_empty()
            && self.route_decision.is_none()
    }
}

/// A caller that gets its reply once the batch is on disk.
pub(super) struct PendingReply {
    /// The decision on its request.
    pub(super) decision: Result<Decision, WriteError>,
    /// Where the reply goes.
    pub(super) sender: ReplySender,
}

/// A request that was accepted.
pub(super) enum Decision {
    /// Entries of this service are to be stored; their version is known once they are on disk.
    Entries(ServiceName),
    /// The reply is known already.
    Known(WriteOutcome),
}

impl Writer {
    /// Decides on every request, then on entries and leases whose TTL is over.
    ///
    /// Renewals of entries go first. Failure: a renewal that arrived in time but shares its batch with the end of the
    /// TTL would find its entry ended. A lease has no such grace: [`LeaseTable::request`] rejects its renewal once the
    /// TTL is over, in whatever order.
    ///
    /// [`LeaseTable::request`]: crate::lease::LeaseTable::request
    pub(super) fn decide(&mut self, requests: Vec<WriteRequest>, now: Instant) -> Batch {
        let mut batch = Batch { route_decision: self.decide_route_tick(), ..Batch::default() };
        for request in requests {
            self.decide_request(request, &mut batch, now);
        }
        for registration in &batch.registrations {
            self.deadlines.take(registration, now);
        }
        batch.lease_changes.extend(self.leases.expire(now));
        batch.expired = self.deadlines.take_expired(now);
        batch
    }

    /// Decides on one request, or defers it: a proposal waits for the next batch where this one has a decision on the
    /// route table already.
    fn decide_request(&mut self, request: WriteRequest, batch: &mut Batch, now: Instant) {
        let is_proposal = matches!(request.operation, WriteOperation::Proposal { .. });
        if is_proposal && batch.route_decision.is_some() {
            self.deferred.push(request);
            return;
        }
        let decision = match request.operation {
            WriteOperation::Lease(lease_request) => match self.leases.request(&lease_request, now) {
                Ok(decision) => {
                    batch.lease_changes.push(decision.change.clone());
                    Ok(Decision::Known(WriteOutcome::Lease(decision)))
                }
                Err(error) => Err(WriteError::Lease(error)),
            },
            WriteOperation::Proposal { proposal, fence } => {
                self.decide_proposal(proposal, &fence, now).map(|record| {
                    batch.route_decision = Some(record.clone());
                    Decision::Known(WriteOutcome::Proposal(Box::new(record)))
                })
            }
            WriteOperation::Entries { fence: Some(fence), .. } if !self.is_held(&fence, now) => {
                Err(WriteError::Fenced)
            }
            WriteOperation::Entries { service, entries, ttl, .. } => {
                let registration = |entry| Registration { service: service.clone(), entry, ttl };
                batch.registrations.extend(entries.into_iter().map(registration));
                Ok(Decision::Entries(service))
            }
        };
        batch.replies.push(PendingReply { decision, sender: request.reply });
    }

    fn is_held(&self, fence: &Fence, now: Instant) -> bool {
        self.leases.holds(&fence.duty, fence.token, now)
    }

    /// The decision that time brings for the route table, such as the next stage of a rollout.
    fn decide_route_tick(&self) -> Option<RouteRecord> {
        let service = self.shared.route_table.as_deref()?;
        let record = service.tick(&self.shared.state())?;
        if let Err(why) = RouteTableService::check_length(&record) {
            error!(%why, "a decision on the route table cannot be written");
            service.settle(record, false);
            return None;
        }
        Some(record)
    }

    /// The record of a proposal, if it is accepted.
    fn decide_proposal(
        &self,
        proposal: Proposal,
        fence: &Fence,
        now: Instant,
    ) -> Result<RouteRecord, WriteError> {
        let service = self.shared.route_table.as_deref().ok_or(WriteError::NoRouteTable)?;
        if !self.is_held(fence, now) {
            return Err(WriteError::Fenced);
        }
        let outcome = service.propose(proposal, &self.shared.state()).map_err(WriteError::Proposal)?;
        if let Err(why) = RouteTableService::check_length(&outcome.record) {
            service.settle(outcome.record, false);
            return Err(WriteError::ProposalTooLong(why));
        }
        Ok(outcome.record)
    }
}
