//! The changes of the record by which a proposal is accepted, evaluated and admitted, or ended before its
//! rollout.

use super::super::record::{ActiveProposal, Admission, ProposalOutcome};
use super::super::{AcceptedProposal, Backend, Control, Effect, Proposal, Revision, RouteRecord, Table};
use super::check::round_weights;
use super::{ProposalError, check_proposal, list_digest};
use crate::replay::{Decision, Verdict};

impl Control {
    /// Accepts a proposal, with its weights rounded to nine decimals, or returns the reason to refuse it.
    ///
    /// `listed` are the currently listed backends. The proposal takes effect once the returned record is on
    /// disk and passed to [`Control::apply`].
    ///
    /// # Errors
    ///
    /// [`ProposalError`], in this order: a record is being written, a rollout runs, another revision is the
    /// newest, the weights are invalid, the fleet has revisions that this registry never issued.
    pub fn propose(
        &mut self,
        now_ms: u64,
        proposal: Proposal,
        listed: &[Backend],
    ) -> Result<AcceptedProposal, ProposalError> {
        self.update_backends(listed);
        let proposal = Proposal { weights: round_weights(proposal.weights), ..proposal };
        self.check_acceptable(&proposal, listed)?;
        let mut record = self.next_record(now_ms);
        let why = format!("overtaken by a proposal of {}", proposal.by);
        record.end_active(now_ms, ProposalOutcome::Lapsed { why });
        let table = Table {
            revision: self.new_revision(now_ms),
            from: self.record.in_force.revision,
            digest: proposal.weights.digest(),
            weights: proposal.weights,
            by: proposal.by,
            accepted_ms: now_ms,
        };
        record.highest_revision = table.revision;
        let admission = self.admission(proposal.override_reason);
        let admitted = admission != Admission::Awaited;
        record.active = Some(ActiveProposal {
            table: table.clone(),
            admission,
            list_digest: list_digest(listed),
            verdict: None,
            rollout: None,
        });
        if admitted {
            self.start_rollout(&mut record, now_ms);
        }
        self.pending_change = Some(record.change);
        Ok(AcceptedProposal { table, record })
    }

    fn check_acceptable(&self, proposal: &Proposal, listed: &[Backend]) -> Result<(), ProposalError> {
        if self.pending_change.is_some() {
            return Err(ProposalError::Writing);
        }
        if let Some(ActiveProposal { table, rollout: Some(_), .. }) = &self.record.active {
            return Err(ProposalError::RollingOut { revision: table.revision });
        }
        let newest = self.newest_revision();
        if proposal.from != newest {
            return Err(ProposalError::Conflict { from: proposal.from, newest });
        }
        check_proposal(proposal, &self.record.in_force.weights, listed, self.config.max_weight_step)?;
        let proxies = self.drift.proxies_ahead();
        if proxies > 0 && proposal.override_reason.is_none() {
            return Err(ProposalError::Ahead { proxies });
        }
        Ok(())
    }

    /// The admission of a proposal at the time when it is accepted.
    fn admission(&self, override_reason: Option<String>) -> Admission {
        match override_reason {
            Some(why) => Admission::Override { why },
            None if self.config.require_verdict => Admission::Awaited,
            None => Admission::Unjudged,
        }
    }

    /// The next record of a proposal that awaits its verdict, or `None` while it waits.
    pub(crate) fn decide_awaited(&self, now_ms: u64) -> Option<RouteRecord> {
        self.evaluate_for_changed_list(now_ms)
            .or_else(|| self.apply_verdict(now_ms))
            .or_else(|| self.lapse_without_verdict(now_ms))
    }

    /// Evaluates the proposal again when the list of backends has changed, or ends it if it is not valid for
    /// the new list.
    ///
    /// Failure: a verdict on backends that are gone would admit weights for a fleet that was never replayed.
    /// An empty list is skipped, since it means that the list is not known yet.
    fn evaluate_for_changed_list(&self, now_ms: u64) -> Option<RouteRecord> {
        let active = self.record.active.as_ref()?;
        let backends = &self.backends.list;
        let list_digest = list_digest(backends);
        if backends.is_empty() || active.list_digest == list_digest {
            return None;
        }
        let mut record = self.next_record(now_ms);
        let Table { weights, by, from, .. } = active.table.clone();
        let proposal = Proposal { from, weights, by, override_reason: None };
        let in_force = &self.record.in_force.weights;
        match check_proposal(&proposal, in_force, backends, self.config.max_weight_step) {
            Ok(()) => record.active.as_mut()?.list_digest = list_digest,
            Err(error) => {
                let why = format!("the list changed: {error}");
                record.end_active(now_ms, ProposalOutcome::Lapsed { why });
            }
        }
        Some(record)
    }

    /// Admits or ends the proposal according to the verdict of its replay.
    fn apply_verdict(&self, now_ms: u64) -> Option<RouteRecord> {
        let verdict = self.verdict.clone()?;
        let decision = verdict.decision.clone();
        let mut record = self.next_record(now_ms);
        let active = record.active.as_mut()?;
        active.verdict = Some(verdict);
        match decision {
            Decision::Admit => {
                active.admission = Admission::Verdict;
                self.start_rollout(&mut record, now_ms);
            }
            Decision::Refuse { .. } => record.end_active(now_ms, ProposalOutcome::Refused),
            Decision::CannotTell(_) => record.end_active(now_ms, ProposalOutcome::CannotTell),
        }
        Some(record)
    }

    /// Ends the proposal if no verdict has arrived within
    /// [`Config::verdict_timeout_ms`](super::super::Config::verdict_timeout_ms), counted from its acceptance
    /// or from the start of the registry, whichever is later.
    fn lapse_without_verdict(&self, now_ms: u64) -> Option<RouteRecord> {
        let active = self.record.active.as_ref()?;
        let timeout_ms = self.config.verdict_timeout_ms;
        let waiting_since_ms = active.table.accepted_ms.max(self.started_ms);
        if now_ms.saturating_sub(waiting_since_ms) <= timeout_ms {
            return None;
        }
        let mut record = self.next_record(now_ms);
        let why = format!("no verdict in {timeout_ms} ms: see the replay's state, propose again");
        record.end_active(now_ms, ProposalOutcome::Lapsed { why });
        Some(record)
    }

    /// Whether a verdict is on the proposal that currently awaits one.
    pub(crate) fn is_awaited(&self, verdict: &Verdict) -> bool {
        self.record.active.as_ref().is_some_and(|active| {
            active.admission == Admission::Awaited
                && active.table.from == verdict.from
                && active.table.digest == verdict.digest
        })
    }

    /// The effect that requests the evaluation of the active proposal, if that awaits its verdict.
    pub(crate) fn evaluation_request(&self) -> Option<Effect> {
        let awaiting = |active: &&ActiveProposal| active.admission == Admission::Awaited;
        let active = self.record.active.as_ref().filter(awaiting)?;
        Some(Effect::Evaluate { table: active.table.clone(), in_force: self.record.in_force.clone() })
    }

    /// A revision above all that were ever issued, also by a registry whose state was lost: above the highest
    /// one in the record, above every reported one, and not below Unix time in milliseconds.
    pub(crate) fn new_revision(&self, now_ms: u64) -> Revision {
        let above_issued = self.record.highest_revision + 1;
        let above_reported = self.drift.highest_revision() + 1;
        now_ms.max(above_issued).max(above_reported)
    }
}
