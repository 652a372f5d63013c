//! What the registry drives: proposals, verdicts, reports and time go in, effects come out. A decision is a record that
//! must be durable before it counts: [`Effect::Persist`], then [`Control::apply`](super::Control::apply) once it is on disk, or
//! [`Control::discard_pending`](super::Control::discard_pending) if it could not be written. Until then nothing else of the table is decided. Times are Unix
//! milliseconds that never go back: a monotonic clock over the Unix time of the start.

use super::check::{check, list_digest, rounded};
use super::drift::Drift;
use super::member::Taken;
use super::record::{ActiveProposal, Admission, ProposalOutcome};
use super::rollout::Standing;
use super::{
    AcceptedProposal, Backend, Backends, Config, Effect, OutcomeCounts, Proposal, ProposalError, Report,
    ReportError, Revision, RouteRecord, StaleVerdict, Table,
};
use crate::replay::Verdict;

/// The route table of one tier, its rollout and its drift.
pub struct Control {
    pub(super) config: Config,
    pub(super) record: RouteRecord,
    pub(super) drift: Drift,
    pub(super) standing: Standing,
    pub(super) listed: Backends,
    pub(super) in_flight: Option<u64>,
    pub(super) verdict: Option<Verdict>,
    pub(super) started: u64,
    last_tick: u64,
}

impl Control {
    /// Without anything durable: revision 0, every weight 1.
    pub fn new(config: Config, now: u64) -> Self {
        Control {
            drift: Drift::new(now),
            standing: Standing::new(now),
            record: RouteRecord::empty(),
            listed: Backends::default(),
            in_flight: None,
            verdict: None,
            started: now,
            last_tick: now,
            config,
        }
    }

    /// From the records that the log has, in any order and however often. The effects go on where it was.
    pub fn restore(
        config: Config,
        records: impl IntoIterator<Item = RouteRecord>,
        now: u64,
    ) -> (Self, Vec<Effect>) {
        let mut control = Control::new(config, now);
        if let Some(newest) = records.into_iter().max_by_key(|record| record.change) {
            control.record = newest;
        }
        let judge = control.judge().into_iter().collect();
        (control, judge)
    }

    /// Takes a proposal, if it can be taken; its weights to nine decimals. `listed` are the backends of the list.
    pub fn propose(
        &mut self,
        now: u64,
        proposal: Proposal,
        listed: &[Backend],
    ) -> Result<AcceptedProposal, ProposalError> {
        self.update_backends(listed);
        if self.in_flight.is_some() {
            return Err(ProposalError::Writing);
        }
        let (from, newest) = (proposal.from, self.newest_revision());
        if let Some(ActiveProposal { table, rollout: Some(_), .. }) = &self.record.active {
            return Err(ProposalError::RollingOut { revision: table.revision });
        }
        if from != newest {
            return Err(ProposalError::Conflict { from, newest });
        }
        let proposal = Proposal { weights: rounded(proposal.weights), ..proposal };
        check(&proposal, &self.record.in_force.weights, listed, self.config.max_weight_step)?;
        let proxies = self.drift.ahead();
        if proxies > 0 && proposal.override_why.is_none() {
            return Err(ProposalError::Ahead { proxies });
        }
        let mut record = self.next(now);
        let why = format!("overtaken by a proposal of {}", proposal.by);
        self.end(&mut record, now, ProposalOutcome::Lapsed { why });
        let table = Table {
            revision: self.revision(now),
            from: self.record.in_force.revision,
            digest: proposal.weights.digest(),
            weights: proposal.weights,
            by: proposal.by,
            accepted_ms: now,
        };
        record.highest_revision = table.revision;
        let admitted = match proposal.override_why {
            Some(why) => Admission::Override { why },
            None if self.config.require_verdict => Admission::Awaited,
            None => Admission::Unjudged,
        };
        let starts = admitted != Admission::Awaited;
        let (list, verdict) = (list_digest(listed), None);
        record.active = Some(ActiveProposal {
            table: table.clone(),
            admission: admitted,
            list_digest: list,
            verdict,
            rollout: None,
        });
        if starts {
            self.start(&mut record, now);
        }
        self.in_flight = Some(record.change);
        Ok(AcceptedProposal { table, record })
    }

    /// The list of backends as it is now; to be told at the start and whenever it changes.
    pub fn update_backends(&mut self, listed: &[Backend]) {
        self.listed.set(listed);
    }

    /// Takes what the replay says.
    pub fn receive_verdict(&mut self, now: u64, verdict: Verdict) -> Result<Vec<Effect>, StaleVerdict> {
        let awaited = self.record.active.as_ref().is_some_and(|work| {
            work.admission == Admission::Awaited
                && (work.table.from, &work.table.digest) == (verdict.from, &verdict.digest)
        });
        if !awaited {
            return Err(StaleVerdict { from: verdict.from, digest: verdict.digest });
        }
        self.verdict = Some(verdict);
        Ok(self.decide(now).into_iter().collect())
    }

    /// A record is on disk: it counts. Also one that is met twice or late.
    pub fn apply(&mut self, now: u64, record: RouteRecord) -> Vec<Effect> {
        if self.in_flight == Some(record.change) {
            self.in_flight = None;
        }
        if record.change <= self.record.change {
            return Vec::new();
        }
        let before = std::mem::replace(&mut self.record, record);
        let mut effects = Vec::new();
        let (old, new) = (before.awaited(), self.record.awaited());
        if old != new {
            self.verdict = None;
            effects.extend(old.map(|(revision, _)| Effect::Cancel { revision }));
            effects.extend(self.judge());
        }
        let stage = |record: &RouteRecord| {
            let work = record.active.as_ref()?;
            work.rollout.as_ref().map(|rollout| (work.table.revision, rollout.stage, rollout.members.len()))
        };
        if stage(&before) != stage(&self.record) {
            self.standing = Standing::new(now);
        }
        if before.version != self.record.version {
            self.drift.given(now, |name| {
                before.target_table(name).revision != self.record.target_table(name).revision
            });
            effects.push(Effect::Publish { version: self.record.version });
        }
        effects
    }

    /// The decision in flight could not be written: it never was. It is made anew when there is cause.
    pub fn discard_pending(&mut self) {
        self.in_flight = None;
    }

    /// Takes a proxy's report.
    pub fn receive_report(&mut self, now: u64, report: Report) -> Result<(), ReportError> {
        let (shares, revision) = (OutcomeCounts::of(&report), report.revision);
        let taken = self.drift.report(now, report, &self.record, &self.listed, &self.config)?;
        if taken == Taken::No {
            return Ok(());
        }
        let rolling = self.record.active.as_ref().filter(|work| work.rollout.is_some());
        match rolling.is_some_and(|work| work.table.revision == revision) {
            // A window in which the table changed says nothing of the new one.
            true if taken == Taken::Same => self.standing.have.add(&shares),
            true => {}
            false => self.standing.without.add(&shares),
        }
        Ok(())
    }

    /// What time brings; to be called at least every second.
    pub fn tick(&mut self, now: u64) -> Vec<Effect> {
        // Whoever stood still itself has heard nobody: that is no silence of theirs.
        if now.saturating_sub(self.last_tick) > 2 * self.config.report_ms {
            self.drift.stood_still(now);
            self.standing = Standing::new(now);
        }
        self.last_tick = now;
        let mut effects = self.drift.evaluate(now, &self.config);
        effects.extend(self.decide(now));
        effects
    }

    /// The table that a proxy is to have.
    pub fn target_table(&self, name: &str) -> &Table {
        self.record.target_table(name)
    }

    /// Counts up whenever anybody is to have another table: what watches compare. Also above all from before a loss of
    /// state.
    pub fn version(&self) -> u64 {
        self.record.version
    }

    /// The revision that a proposal must be made from: the proposal in work, or else the table in force.
    pub fn newest_revision(&self) -> Revision {
        self.record.active.as_ref().map_or(self.record.in_force.revision, |work| work.table.revision)
    }

    /// The table of the proposal in work, if any.
    pub fn proposed_table(&self) -> Option<&Table> {
        self.record.active.as_ref().map(|work| &work.table)
    }

    /// The table in force: what all have who are in no rollout's stage.
    pub fn in_force(&self) -> &Table {
        &self.record.in_force
    }
}
