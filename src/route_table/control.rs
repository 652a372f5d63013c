//! The state machine of one tier's route table: its host (the registry) feeds it proposals, verdicts, reports
//! and the time, and carries out the [`Effect`]s that it returns.
//!
//! [`Control`] owns the newest durable [`RouteRecord`], the drift detector and the counts of the current
//! stage. Each decision is a record that must be on disk before it takes effect: [`Effect::Persist`], then
//! [`Control::apply`] once the record is written, or [`Control::discard_pending`] if it could not be. No
//! other decision is made while one is pending. Failure that this guards against: a registry that is killed
//! between a decision and its write would otherwise have given proxies a table that is in no record.
//!
//! All times are Unix milliseconds that never decrease: a monotonic clock added to the Unix time of the
//! start.

use super::backend_list::BackendList;
use super::drift::{Drift, ReportOutcome};
use super::rollout::StageProgress;
use super::{
    Backend, Config, Effect, OutcomeCounts, Report, ReportError, Revision, RouteRecord, StaleVerdict, Table,
};
use crate::replay::Verdict;

/// The route table of one tier, its rollout and its drift detector.
pub struct Control {
    pub(super) config: Config,
    /// The newest record on disk.
    pub(super) record: RouteRecord,
    pub(super) drift: Drift,
    pub(super) stage_progress: StageProgress,
    /// The list of backends; empty until the host has set one.
    pub(super) backends: BackendList,
    /// [`RouteRecord::change`] of the decision that is being written to disk.
    pub(super) pending_change: Option<u64>,
    /// The verdict on the awaited proposal, until a decision has used it.
    pub(super) verdict: Option<Verdict>,
    pub(super) started_ms: u64,
    last_tick_ms: u64,
}

impl Control {
    /// Starts without durable state: revision 0, every weight 1.
    pub fn new(config: Config, now_ms: u64) -> Self {
        Control {
            drift: Drift::new(now_ms),
            stage_progress: StageProgress::new(now_ms),
            record: RouteRecord::empty(),
            backends: BackendList::default(),
            pending_change: None,
            verdict: None,
            started_ms: now_ms,
            last_tick_ms: now_ms,
            config,
        }
    }

    /// Starts from the records of the log, which may be repeated and in any order. The returned effects
    /// resume an evaluation that was awaited.
    pub fn restore(
        config: Config,
        records: impl IntoIterator<Item = RouteRecord>,
        now_ms: u64,
    ) -> (Self, Vec<Effect>) {
        let mut control = Control::new(config, now_ms);
        if let Some(newest) = records.into_iter().max_by_key(|record| record.change) {
            control.record = newest;
        }
        let effects = control.evaluation_request().into_iter().collect();
        (control, effects)
    }

    /// Sets the list of backends. The host calls it at the start and whenever the list changes.
    pub fn update_backends(&mut self, listed: &[Backend]) {
        self.backends.set(listed);
    }

    /// Receives the verdict of a replay, and returns the effects of the decision that follows from it.
    ///
    /// # Errors
    ///
    /// [`StaleVerdict`] if the verdict's proposal no longer awaits one, as after a restart or when another
    /// proposal superseded it.
    pub fn receive_verdict(&mut self, now_ms: u64, verdict: Verdict) -> Result<Vec<Effect>, StaleVerdict> {
        if !self.is_awaited(&verdict) {
            return Err(StaleVerdict { from: verdict.from, digest: verdict.digest });
        }
        self.verdict = Some(verdict);
        Ok(self.decide(now_ms).into_iter().collect())
    }

    /// Puts into force a record that is on disk. An older or repeated record changes nothing.
    pub fn apply(&mut self, now_ms: u64, record: RouteRecord) -> Vec<Effect> {
        if self.pending_change == Some(record.change) {
            self.pending_change = None;
        }
        if record.change <= self.record.change {
            return Vec::new();
        }
        let previous = std::mem::replace(&mut self.record, record);
        let mut effects = self.replace_evaluation(&previous);
        if previous.stage_key() != self.record.stage_key() {
            self.restart_stage_counts(now_ms);
        }
        if previous.version != self.record.version {
            let current = &self.record;
            self.drift.restart_grace(now_ms, |name| {
                previous.target_table(name).revision != current.target_table(name).revision
            });
            effects.push(Effect::Publish { version: current.version });
        }
        effects
    }

    /// Cancels the evaluation that the previous record awaited and requests that of the new record, if they
    /// differ.
    fn replace_evaluation(&mut self, previous: &RouteRecord) -> Vec<Effect> {
        let old = previous.awaited_evaluation();
        if old == self.record.awaited_evaluation() {
            return Vec::new();
        }
        self.verdict = None;
        let cancel = old.map(|(revision, _)| Effect::CancelEvaluation { revision });
        cancel.into_iter().chain(self.evaluation_request()).collect()
    }

    /// Drops the pending decision, whose record could not be written. The next ticks make the decision again
    /// while its cause persists.
    pub fn discard_pending(&mut self) {
        self.pending_change = None;
    }

    /// Receives a proxy's report, for the drift detector and for the counts of the current stage.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if the report is invalid, arrives too often or exceeds the capacity.
    pub fn receive_report(&mut self, now_ms: u64, report: Report) -> Result<(), ReportError> {
        let counts = OutcomeCounts::of_report(&report);
        let revision = report.revision;
        let outcome = self.drift.receive(now_ms, report, &self.record, &self.backends, &self.config)?;
        match outcome {
            ReportOutcome::Ignored => {}
            ReportOutcome::TableChanged => self.count_for_stage(revision, false, &counts),
            ReportOutcome::SameTable => self.count_for_stage(revision, true, &counts),
        }
        Ok(())
    }

    /// Raises and clears findings and makes the decision that is due at `now_ms`. The host calls it at least
    /// every second.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Effect> {
        // A registry that was itself paused (a stopped process, a suspended machine) received no reports
        // meanwhile. Without this every proxy would look silent and the stage would compare windows of
        // different lengths.
        if now_ms.saturating_sub(self.last_tick_ms) > 2 * self.config.report_ms {
            self.drift.registry_paused(now_ms);
            self.restart_stage_counts(now_ms);
        }
        self.last_tick_ms = now_ms;
        let mut effects = self.drift.evaluate(now_ms, &self.config);
        effects.extend(self.decide(now_ms));
        effects
    }

    /// Makes the next decision, if one is due and none is pending.
    fn decide(&mut self, now_ms: u64) -> Option<Effect> {
        if self.pending_change.is_some() {
            return None;
        }
        let rolling_out = self.record.active.as_ref()?.rollout.is_some();
        let record = if rolling_out { self.decide_rollout(now_ms) } else { self.decide_awaited(now_ms) }?;
        self.pending_change = Some(record.change);
        Some(Effect::Persist(Box::new(record)))
    }

    /// A copy of the record with the next change number, for a decision to modify.
    pub(super) fn next_record(&self, now_ms: u64) -> RouteRecord {
        RouteRecord { change: now_ms.max(self.record.change + 1), ..self.record.clone() }
    }

    /// The table that a proxy should have.
    pub fn target_table(&self, name: &str) -> &Table {
        self.record.target_table(name)
    }

    /// Version of the proxies' target tables, which watches compare. It rises whenever any proxy should have
    /// another table. It follows Unix time in milliseconds, so that it also lies above every version from
    /// before a loss of state.
    pub fn version(&self) -> u64 {
        self.record.version
    }

    /// The revision that a proposal must be made from: that of the active proposal, or else that of the table
    /// in force.
    pub fn newest_revision(&self) -> Revision {
        self.record.active.as_ref().map_or(self.record.in_force.revision, |active| active.table.revision)
    }

    /// The table of the active proposal.
    pub fn proposed_table(&self) -> Option<&Table> {
        self.record.active.as_ref().map(|active| &active.table)
    }

    /// The table in force: that of all proxies that no stage of a rollout includes.
    pub fn in_force(&self) -> &Table {
        &self.record.in_force
    }
}
