//! Step "decide" of the writer: turns requests into the changes of a batch, or into errors.

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
    /// Entries to be stored, in the order of their requests.
    pub(super) registrations: Vec<Registration>,
    /// Entries whose TTL has expired.
    pub(super) expired: Vec<EntryId>,
    /// Changes of leases, in the order in which they were decided.
    pub(super) lease_changes: Vec<LeaseChange>,
    /// Decision on the route table. There is at most one per batch, since the next one is based on the one on disk.
    pub(super) route_decision: Option<RouteRecord>,
    /// Replies to send once the batch is on disk.
    pub(super) replies: Vec<PendingReply>,
}

impl Batch {
    /// Returns true if there is nothing to write and no reply to send.
    pub(super) fn is_empty(&self) -> bool {
        self.replies.is_empty()
            && self.expired.is_empty()
            && self.lease_changes.is_empty()
            && self.route_decision.is_none()
    }
}

/// A reply to be sent once the batch is on disk.
pub(super) struct PendingReply {
    /// Decision on the caller's request.
    pub(super) decision: Result<Decision, WriteError>,
    /// Channel on which the caller waits for the reply.
    pub(super) sender: ReplySender,
}

/// The decision on a request that was accepted.
pub(super) enum Decision {
    /// Entries of this service are to be stored. The reply is their version, which is known once they are on disk.
    Entries(ServiceName),
    /// The outcome is known before the write.
    Outcome(WriteOutcome),
}

impl Writer {
    /// Decides on the route table's tick, then on every request, then on entries and leases whose TTL has expired.
    ///
    /// Renewals of entries are applied before expiries. Failure: a renewal that arrived in time, in the same batch in
    /// which the TTL expires, would find its entry deleted. Leases get no such grace: [`LeaseTable::request`] rejects a
    /// renewal once the TTL has expired, in whatever order.
    ///
    /// [`LeaseTable::request`]: crate::lease::LeaseTable::request
    pub(super) fn decide(&mut self, requests: Vec<WriteRequest>, now: Instant) -> Batch {
        let mut batch = Batch { route_decision: self.decide_route_tick(), ..Batch::default() };
        for request in requests {
            self.decide_request(request, &mut batch, now);
        }
        for registration in &batch.registrations {
            self.deadlines.update(registration, now);
        }
        batch.lease_changes.extend(self.leases.expire(now));
        batch.expired = self.deadlines.take_expired(now);
        batch
    }

    /// Decides on one request, or defers it: a proposal is deferred to the next batch if this one already has a
    /// decision on the route table.
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
                    Ok(Decision::Outcome(WriteOutcome::Lease(decision)))
                }
                Err(error) => Err(WriteError::Lease(error)),
            },
            WriteOperation::Proposal { proposal, fence } => {
                self.decide_proposal(proposal, &fence, now).map(|record| {
                    batch.route_decision = Some(record.clone());
                    Decision::Outcome(WriteOutcome::Proposal(Box::new(record)))
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

    /// Returns the decision on the route table that is due by now, such as the next stage of a rollout.
    fn decide_route_tick(&self) -> Option<RouteRecord> {
        let service = self.shared.route_table.as_deref()?;
        let record = service.tick(&self.shared.state())?;
        if let Err(why) = RouteTableService::check_length(&record) {
            error!(%why, "decision on the route table dropped: its record is too long for the log");
            service.settle(record, false);
            return None;
        }
        Some(record)
    }

    /// Returns the record of a proposal if it is accepted.
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
