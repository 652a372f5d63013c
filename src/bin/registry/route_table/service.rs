//! [`RouteTableService`]: connects the state machine of the route table to the clock, the list of backends, the threads
//! and the log.

use super::clock::Clock;
use super::config::{RoutesConfig, ServiceConfig};
use super::decisions::Decisions;
use super::evaluation::Evaluator;
use super::page_cache::PageCache;
use super::pages::{FindingsPage, RoutesPage};
use super::traces::Traces;
use crate::error::StartError;
use crate::store::{MAX_RECORD_BYTES, Record, State};
use bytes::Bytes;
use load_balancer::replay::{Job, Listed};
use load_balancer::route_table::{
    AcceptedProposal, Backend, Control, Effect, Finding, Proposal, ProposalError, Report, ReportError,
    Revision, RouteRecord, Table,
};
use serde_json::json;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use thiserror::Error;
use tokio::sync::watch;
use tracing::{debug, info, warn};

/// Interval between two ticks of the state machine, in milliseconds.
const TICK_INTERVAL_MS: u64 = 250;

/// A record is too long to be read back from the log. The text is sent to the proposer.
#[derive(Error, Clone, Debug, PartialEq)]
#[error(
    "the table takes {bytes} bytes on disk, at most {MAX_RECORD_BYTES}: say it by class or zone, or with shorter names"
)]
pub(crate) struct TooLong {
    /// Length of the record on disk.
    bytes: usize,
}

/// The service that hosts the route table, its rollouts and the drift detector.
pub(crate) struct RouteTableService {
    config: ServiceConfig,
    clock: Clock,
    decisions: Mutex<Decisions>,
    evaluator: Evaluator,
    pages: Mutex<PageCache>,
    /// Recorded segments.
    pub(crate) traces: Traces,
    /// Version of the target tables; it rises when any proxy's table changes, and watches of tables wait on it.
    pub(crate) tables: watch::Sender<u64>,
    /// Version of the findings; it rises when one is raised or cleared, and watches of the drift page wait on it.
    pub(crate) findings: watch::Sender<u64>,
}

impl RouteTableService {
    /// Resumes from the newest record on disk, and starts the threads for segments and for evaluations.
    pub(crate) fn start(
        config: RoutesConfig,
        state: &State,
        data: &Path,
    ) -> Result<Arc<RouteTableService>, StartError> {
        let clock = Clock::start();
        let now_ms = clock.now_ms();
        let (control, effects) = Control::restore(config.control, state.routes.iter().cloned(), now_ms);
        let traces = Traces::start(&data.join("traces"), config.service.ring_bytes, config.service.keep_ms)?;
        let evaluator = Evaluator::start(traces.ring.clone(), config.service.judge_requests)?;
        let service = RouteTableService {
            config: config.service,
            clock,
            tables: watch::Sender::new(control.version()),
            findings: watch::Sender::new(now_ms),
            decisions: Mutex::new(Decisions::new(control)),
            evaluator,
            pages: Mutex::default(),
            traces,
        };
        let mut decisions = service.decisions();
        decisions.follow_list(state);
        service.run_effects(&decisions, effects);
        drop(decisions);
        Ok(Arc::new(service))
    }

    fn decisions(&self) -> MutexGuard<'_, Decisions> {
        self.decisions.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The present Unix time in milliseconds; it never decreases.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Accepts or refuses a proposal. The caller, which is the writer thread, writes the returned record and passes it
    /// to [`RouteTableService::settle`].
    pub(crate) fn propose(
        &self,
        proposal: Proposal,
        state: &State,
    ) -> Result<AcceptedProposal, ProposalError> {
        let mut decisions = self.decisions();
        decisions.follow_list(state);
        let Decisions { control, backends, .. } = &mut *decisions;
        control.propose(self.now_ms(), proposal, backends)
    }

    /// Takes the verdict of an evaluation, and makes the decision that is due, such as the next stage of a rollout. The
    /// caller, which is the writer thread, writes the returned record and passes it to [`RouteTableService::settle`].
    pub(crate) fn tick(&self, state: &State) -> Option<RouteRecord> {
        let now_ms = self.now_ms();
        let mut decisions = self.decisions();
        if now_ms < decisions.next_tick_ms {
            return None;
        }
        decisions.next_tick_ms = now_ms + TICK_INTERVAL_MS;
        decisions.follow_list(state);
        let mut effects = Vec::new();
        if let Some(verdict) = self.evaluator.take_verdict() {
            info!(from = verdict.from, digest = verdict.digest, requests = verdict.requests,
                decision = %json!(verdict.decision), "proposal evaluated");
            match decisions.control.receive_verdict(now_ms, verdict) {
                Ok(more) => effects.extend(more),
                Err(stale) => debug!(%stale, "verdict ignored"),
            }
        }
        effects.extend(decisions.control.tick(now_ms));
        self.run_effects(&decisions, effects)
    }

    /// Carries out a decision whose record is on disk, or discards one whose record could not be written. Called by the
    /// writer thread.
    pub(crate) fn settle(&self, record: RouteRecord, is_on_disk: bool) {
        let mut decisions = self.decisions();
        if !is_on_disk {
            return decisions.control.discard_pending();
        }
        let stage = record
            .active
            .as_ref()
            .and_then(|active| Some((active.table.revision, active.rollout.as_ref()?.stage)));
        info!(change = record.change, in_force = record.in_force.revision, rolling = ?stage, "route table changed");
        let effects = decisions.control.apply(self.now_ms(), record);
        self.run_effects(&decisions, effects);
    }

    /// Checks that a record is short enough to be read back from the log.
    pub(crate) fn check_length(record: &RouteRecord) -> Result<(), TooLong> {
        let bytes = Record::Routes(Box::new(record.clone())).encode().map_or(usize::MAX, |text| text.len());
        if bytes <= MAX_RECORD_BYTES { Ok(()) } else { Err(TooLong { bytes }) }
    }

    /// Carries out effects, and returns the record that must be written, if there is one.
    fn run_effects(&self, decisions: &Decisions, effects: Vec<Effect>) -> Option<RouteRecord> {
        let mut record = None;
        for effect in effects {
            match effect {
                Effect::Persist(decided) => record = Some(*decided),
                Effect::Evaluate { table, in_force } => {
                    self.evaluator.begin(table.revision, self.job(decisions, table, in_force))
                }
                Effect::CancelEvaluation { revision } => self.evaluator.cancel(revision),
                Effect::Publish { version } => {
                    self.tables.send_replace(version);
                }
                Effect::Raised(finding) => {
                    log_raised(&finding);
                    self.findings.send_modify(|version| *version += 1);
                }
                Effect::Cleared(finding) => {
                    log_cleared(&finding);
                    self.findings.send_modify(|version| *version += 1);
                }
            }
        }
        record
    }

    /// The job that evaluates a table against the one in force.
    fn job(&self, decisions: &Decisions, table: Table, in_force: Table) -> Job {
        let listed = decisions.backends.iter().cloned();
        Job {
            from: in_force.revision,
            in_force: in_force.weights,
            seed: table.revision,
            proposal: table.weights,
            list_version: decisions.list_version,
            listed: listed
                .map(|Backend { host, class, zone, share }| Listed { host, class, zone, share })
                .collect(),
            fleet: self.config.fleet,
            tier: self.config.tier,
            now_ms: self.now_ms() as f64,
            bounds: self.config.bounds.clone(),
            seeds: self.config.judge_seeds,
            threads: self.config.judge_threads,
        }
    }

    /// Passes a proxy's report to the drift detector and the current stage of a rollout.
    pub(crate) fn report(&self, report: Report) -> Result<(), ReportError> {
        let mut decisions = self.decisions();
        decisions.control.receive_report(self.now_ms(), report)
    }

    /// The revision of a proxy's target table and the table as JSON, by the proxy's name.
    pub(crate) fn table_for(&self, proxy: &str) -> serde_json::Result<(Revision, Bytes)> {
        let decisions = self.decisions();
        let table = decisions.control.target_table(proxy);
        let newest = decisions.control.newest_revision();
        let mut pages = self.pages.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        Ok((table.revision, pages.get(table, newest)?))
    }

    /// The operators' page of the table and the current evaluation.
    pub(crate) fn state_page(&self) -> RoutesPage {
        RoutesPage { state: self.decisions().control.state_page(), evaluation: self.evaluator.page() }
    }

    /// The operators' page of the findings with their version, and of the fleet's drift.
    pub(crate) fn drift_page(&self) -> FindingsPage {
        let decisions = self.decisions();
        let version = *self.findings.borrow();
        FindingsPage { version, drift: decisions.control.drift_page(self.now_ms()) }
    }
}

fn log_raised(finding: &Finding) {
    let Finding { kind, proxy, proxies, examples, since_ms, evidence, what_to_do, .. } = finding;
    let kind = json!(kind);
    warn!(kind = kind.as_str(), proxy, proxies, some = ?examples, since_ms, evidence, what_to_do, "drift raised");
}

fn log_cleared(finding: &Finding) {
    let Finding { kind, proxy, proxies, since_ms, .. } = finding;
    let kind = json!(kind);
    info!(kind = kind.as_str(), proxy, proxies, since_ms, "drift cleared");
}
