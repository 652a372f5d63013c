//! The changes of the record by which a rollout begins, advances and ends.

use super::super::record::{ProposalOutcome, Rollout, Stage};
use super::super::{Admission, Control, OutcomeCounts, RouteRecord, Table};
use super::{FleetView, RolloutStep, StageProgress, next_step};
use std::collections::BTreeSet;

impl Control {
    /// Begins the rollout of the active proposal, in the stage `few` and without members. The next review
    /// assigns them.
    pub(crate) fn start_rollout(&self, record: &mut RouteRecord, now_ms: u64) {
        let fleet_baseline = self.drift.recent_counts(|_| true);
        let Some(active) = &mut record.active else { return };
        active.rollout = Some(Rollout {
            stage: Stage::Few,
            members: BTreeSet::new(),
            member_baseline: OutcomeCounts::default(),
            fleet_baseline,
            began_ms: now_ms,
            stage_began_ms: now_ms,
        });
        let revision = active.table.revision;
        let digest = active.table.digest.clone();
        record.remember_issued(revision, digest);
    }

    /// Reviews the rollout and returns its next record, or `None` while it waits.
    pub(crate) fn decide_rollout(&mut self, now_ms: u64) -> Option<RouteRecord> {
        let active = self.record.active.as_ref()?;
        let rollout = active.rollout.as_ref()?;
        let fleet = self.drift.fleet_view(now_ms, rollout.began_ms, &active.table, &self.config);
        let step = if self.lost_state_before_first_member(&active.admission, rollout, &fleet) {
            RolloutStep::Stop { reason: "it began before the fleet was heard".into() }
        } else {
            next_step(&self.config, now_ms, rollout, &self.stage_progress, &fleet)
        };
        self.stage_progress.waiting_for = None;
        let mut record = self.next_record(now_ms);
        match step {
            RolloutStep::Wait { reason } => {
                self.stage_progress.waiting_for = Some(reason);
                return None;
            }
            RolloutStep::Assign { stage, members } => {
                self.assign_members(&mut record, now_ms, stage, members);
            }
            RolloutStep::Complete => {
                if let Some(active) = &record.active {
                    record.in_force = active.table.clone();
                }
                record.end_active(now_ms, ProposalOutcome::Done);
            }
            RolloutStep::Stop { reason } => self.stop_rollout(&mut record, now_ms, reason),
        }
        Some(record)
    }

    /// Whether the reports show, before any proxy was given the table, that this registry lost state.
    ///
    /// Failure: a registry that starts from an old directory accepts a proposal before the proxies report,
    /// and would then give the fleet an older table than it has. An override states that this is intended.
    fn lost_state_before_first_member(
        &self,
        admission: &Admission,
        rollout: &Rollout,
        fleet: &FleetView,
    ) -> bool {
        let overridden = matches!(admission, Admission::Override { .. });
        fleet.reliable && self.drift.proxies_ahead() > 0 && !overridden && rollout.members.is_empty()
    }

    /// Assigns the table to more proxies, and keeps their earlier counts and the fleet's as baselines.
    fn assign_members(&self, record: &mut RouteRecord, now_ms: u64, stage: Stage, members: BTreeSet<String>) {
        let change = record.change;
        let Some(rollout) = record.active.as_mut().and_then(|active| active.rollout.as_mut()) else { return };
        let assigned = |name: &str| stage == Stage::All || members.contains(name);
        let newly_assigned = |name: &str| assigned(name) && !rollout.members.contains(name);
        let baseline = self.drift.recent_counts(newly_assigned);
        rollout.member_baseline.add(&baseline);
        if stage != rollout.stage {
            rollout.stage_began_ms = now_ms;
            if self.stage_progress.without_table.requests >= self.config.min_requests {
                rollout.fleet_baseline = self.stage_progress.without_table;
            }
        }
        rollout.stage = stage;
        rollout.members = members;
        record.version = change;
    }

    /// Stops the rollout, and reissues the last good weights to all proxies as a new revision.
    ///
    /// Nothing is rolled back if no proxy was given the table yet, or if proxies have revisions that this
    /// registry never issued: then its last good table may be older than what the fleet has.
    fn stop_rollout(&self, record: &mut RouteRecord, now_ms: u64, mut why: String) {
        let Some((active, rollout)) =
            record.active.as_ref().and_then(|active| Some((active, active.rollout.as_ref()?)))
        else {
            return;
        };
        let stage = rollout.stage;
        let failed = active.table.revision;
        let never_assigned = stage != Stage::All && rollout.members.is_empty();
        let ahead = self.drift.proxies_ahead();
        let mut rollback_revision = None;
        if ahead > 0 {
            why += &format!(
                "; nothing is rolled back, since {ahead} proxies have revisions that this registry never gave: \
                 propose the whole weights that the fleet should have, with an override"
            );
        } else if !never_assigned {
            let revision = self.new_revision(now_ms);
            record.in_force = Table {
                revision,
                from: failed,
                by: format!("rollout of {failed}"),
                accepted_ms: now_ms,
                ..record.in_force.clone()
            };
            record.highest_revision = revision;
            record.remember_issued(revision, record.in_force.digest.clone());
            rollback_revision = Some(revision);
        }
        // The members' target also changes where nothing is rolled back, so watches must compare again.
        record.version = record.change;
        record.end_active(now_ms, ProposalOutcome::Stopped { stage, why, rollback_revision });
    }

    /// Adds the counts of a report to those with or without the new table, by the report's revision.
    ///
    /// A window in which the proxy changed to the new table (`same_table` is false) mixes both tables and is
    /// left out.
    pub(crate) fn count_for_stage(&mut self, revision: u64, same_table: bool, counts: &OutcomeCounts) {
        let rolling_out = self.record.active.as_ref().filter(|active| active.rollout.is_some());
        let has_new_table = rolling_out.is_some_and(|active| active.table.revision == revision);
        if !has_new_table {
            self.stage_progress.without_table.add(counts);
        } else if same_table {
            self.stage_progress.with_table.add(counts);
        }
    }

    /// Restarts the counts of the stage: a stage began or got members, or the registry itself paused.
    pub(crate) fn restart_stage_counts(&mut self, now_ms: u64) {
        self.stage_progress = StageProgress::new(now_ms);
    }
}
