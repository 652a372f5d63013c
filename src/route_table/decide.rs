//! The changes of the table that [`Control`] decides by itself: each is the next record.

use super::check::{check, list_digest};
use super::record::{
    Admission, EndedProposal, IssuedRevision, MAX_KNOWN, MAX_PAST, ProposalOutcome, Rollout, Stage,
};
use super::rollout::{Step, step};
use super::{Control, Effect};
use super::{OutcomeCounts, Proposal, Revision, RouteRecord, Table};
use crate::replay::{Decision, Verdict};
use std::collections::BTreeSet;

impl Control {
    /// The next decision, if there is cause for one and none is on its way to the disk.
    pub(super) fn decide(&mut self, now: u64) -> Option<Effect> {
        if self.in_flight.is_some() {
            return None;
        }
        let record = match &self.record.active.as_ref()?.rollout {
            None => self.judged(now)?,
            Some(_) => self.rolled(now)?,
        };
        self.in_flight = Some(record.change);
        Some(Effect::Persist(Box::new(record)))
    }

    /// What becomes of a proposal that awaits its verdict.
    fn judged(&mut self, now: u64) -> Option<RouteRecord> {
        let work = self.record.active.as_ref()?;
        let mut record = self.next(now);
        let list = list_digest(&self.listed.list);
        if !self.listed.list.is_empty() && work.list_digest != list {
            let Table { weights, by, .. } = work.table.clone();
            let again = Proposal { from: work.table.from, weights, by, override_why: None };
            match check(&again, &self.record.in_force.weights, &self.listed.list, self.config.max_weight_step)
            {
                // The verdict to come would be of another list: it is judged anew.
                Ok(()) => record.active.as_mut()?.list_digest = list,
                Err(error) => self.end(
                    &mut record,
                    now,
                    ProposalOutcome::Lapsed { why: format!("the list changed: {error}") },
                ),
            }
            return Some(record);
        }
        if let Some(verdict) = self.verdict.clone() {
            let decision = verdict.decision.clone();
            record.active.as_mut()?.verdict = Some(verdict);
            match decision {
                Decision::Admit => {
                    record.active.as_mut()?.admission = Admission::Verdict;
                    self.start(&mut record, now);
                }
                Decision::Refuse { .. } => self.end(&mut record, now, ProposalOutcome::Refused),
                Decision::CannotTell(_) => self.end(&mut record, now, ProposalOutcome::CannotTell),
            }
            return Some(record);
        }
        if now.saturating_sub(work.table.accepted_ms.max(self.started)) > self.config.verdict_timeout_ms {
            let why = format!(
                "no verdict in {} ms: see the replay's state, propose again",
                self.config.verdict_timeout_ms
            );
            self.end(&mut record, now, ProposalOutcome::Lapsed { why });
            return Some(record);
        }
        None
    }

    /// What becomes of a rollout.
    fn rolled(&mut self, now: u64) -> Option<RouteRecord> {
        let work = self.record.active.as_ref()?;
        let rollout = work.rollout.as_ref()?;
        let fleet = self.drift.fleet(now, rollout.began_ms, &work.table, &self.config);
        let lost_state =
            fleet.heard && self.drift.ahead() > 0 && !matches!(work.admission, Admission::Override { .. });
        let step = match lost_state && rollout.members.is_empty() {
            true => Step::Stop("it began before the fleet was heard".into()),
            false => step(&self.config, now, rollout, &self.standing, &fleet),
        };
        self.standing.waits = None;
        let mut record = self.next(now);
        match step {
            Step::Wait(what) => {
                self.standing.waits = Some(what);
                return None;
            }
            Step::Go(stage, members) => {
                let change = record.change;
                let given = |name: &str| stage == Stage::All || members.contains(name);
                let own = self.drift.recent(|name| given(name) && !rollout.members.contains(name));
                let rollout = record.active.as_mut()?.rollout.as_mut()?;
                rollout.member_baseline.add(&own);
                if stage != rollout.stage {
                    rollout.stage_began_ms = now;
                    if self.standing.without.requests >= self.config.min_requests {
                        rollout.fleet_baseline = self.standing.without;
                    }
                }
                (rollout.stage, rollout.members, record.version) = (stage, members, change);
            }
            Step::Done => {
                record.in_force = work.table.clone();
                self.end(&mut record, now, ProposalOutcome::Done);
            }
            Step::Stop(why) => self.stop(&mut record, now, why),
        }
        Some(record)
    }

    /// Ends a rollout badly: the last good weights go out to all, as a new revision.
    fn stop(&self, record: &mut RouteRecord, now: u64, mut why: String) {
        let Some((work, rollout)) = record.active.as_ref().and_then(|w| Some((w, w.rollout.as_ref()?)))
        else {
            return;
        };
        let (stage, failed) = (rollout.stage, work.table.revision);
        let nobody = stage != Stage::All && rollout.members.is_empty();
        let ahead = self.drift.ahead();
        let mut back = None;
        if ahead > 0 {
            why += &format!(
                "; nothing is rolled back, since {ahead} proxies have revisions that this registry never gave: \
                 propose the whole weights that the fleet should have, with an override"
            );
        } else if !nobody {
            let revision = self.revision(now);
            let by = format!("rollout of {failed}");
            record.in_force =
                Table { revision, from: failed, by, accepted_ms: now, ..record.in_force.clone() };
            (record.highest_revision, back) = (revision, Some(revision));
            know(record, revision, record.in_force.digest.clone());
        }
        // Also without a table to go back to, nobody is to have the new one any more.
        record.version = record.change;
        self.end(record, now, ProposalOutcome::Stopped { stage, why, rollback_revision: back });
    }

    /// The record after this one.
    pub(super) fn next(&self, now: u64) -> RouteRecord {
        RouteRecord { change: now.max(self.record.change + 1), ..self.record.clone() }
    }

    /// A revision above all that were ever given, here or by an earlier life of which the state was lost.
    pub(super) fn revision(&self, now: u64) -> Revision {
        now.max(self.record.highest_revision + 1).max(self.drift.highest() + 1)
    }

    /// Begins the rollout of the proposal in work.
    pub(super) fn start(&self, record: &mut RouteRecord, now: u64) {
        let (own, before) = (OutcomeCounts::default(), self.drift.recent(|_| true));
        let Some(work) = &mut record.active else { return };
        let (stage, members) = (Stage::Few, BTreeSet::new());
        work.rollout = Some(Rollout {
            stage,
            members,
            member_baseline: own,
            fleet_baseline: before,
            began_ms: now,
            stage_began_ms: now,
        });
        let (revision, digest) = (work.table.revision, work.table.digest.clone());
        know(record, revision, digest);
    }

    /// Moves the proposal in work, if any, to the ended ones.
    pub(super) fn end(&self, record: &mut RouteRecord, now: u64, end: ProposalOutcome) {
        let Some(work) = record.active.take() else { return };
        let Table { revision, from, by, accepted_ms: at_ms, .. } = work.table;
        let verdict = work.verdict.map(|v| Verdict { in_force: None, proposed: None, ..v });
        let past = EndedProposal {
            revision,
            from,
            by,
            accepted_ms: at_ms,
            admission: work.admission,
            verdict,
            ended_ms: now,
            end,
        };
        record.ended.push(past);
        let over = record.ended.len().saturating_sub(MAX_PAST);
        record.ended.drain(..over);
    }

    /// What is to be judged, if anything is.
    pub(super) fn judge(&self) -> Option<Effect> {
        let work = self.record.active.as_ref().filter(|work| work.admission == Admission::Awaited)?;
        Some(Effect::Judge { table: work.table.clone(), in_force: self.record.in_force.clone() })
    }
}

/// Remembers what was given out.
fn know(record: &mut RouteRecord, revision: Revision, digest: String) {
    record.issued.push(IssuedRevision { revision, digest });
    let over = record.issued.len().saturating_sub(MAX_KNOWN);
    record.issued.drain(..over);
}
