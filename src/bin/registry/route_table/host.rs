//! The facade of the library with what it needs around it.

use super::clock::Clock;
use super::config::{Own, RoutesConfig};
use super::judging::Judging;
use super::pages::Pages;
use super::traces::Traces;
use crate::error::StartError;
use crate::store::{MAX_RECORD, Record, State};
use bytes::Bytes;
use load_balancer::catalog::{Entry, ServiceName};
use load_balancer::replay::{Job, Listed};
use load_balancer::route_table::{
    AcceptedProposal, Backend, Control, DriftPage, Effect, Finding, Proposal, ProposalError, Report,
    ReportError, Revision, RouteRecord, StatePage, Table,
};
use serde_json::{Value, json};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use thiserror::Error;
use tokio::sync::watch;
use tracing::{debug, info, warn};

/// How often time is told to the decisions.
const TICK_MS: u64 = 250;
/// A record that could not be read again from the log.
#[derive(Error, Clone, Debug, PartialEq)]
#[error(
    "the table takes {bytes} bytes on disk, at most {MAX_RECORD}: say it by class or zone, or with shorter names"
)]
pub struct TooLong {
    bytes: usize,
}

struct Inner {
    control: Control,
    listed: Vec<Backend>,
    /// Version of the list that `listed` is of.
    list: u64,
    next_tick: u64,
}

/// The route table, its rollout and its drift, as the registry has them.
pub struct Host {
    own: Own,
    clock: Clock,
    inner: Mutex<Inner>,
    judging: Judging,
    pages: Mutex<Pages>,
    /// Recorded segments.
    pub traces: Traces,
    /// Rises when somebody is to have another table: watches wait on it.
    pub tables: watch::Sender<u64>,
    /// Rises when a finding is raised or cleared: watches wait on it.
    pub findings: watch::Sender<u64>,
}

impl Host {
    /// Goes on from the newest record, with its threads for segments and for judging.
    pub fn start(config: RoutesConfig, state: &State, data: &Path) -> Result<Arc<Host>, StartError> {
        let clock = Clock::start();
        let now = clock.now();
        let (control, effects) = Control::restore(config.control, state.routes.iter().cloned(), now);
        let (tables, findings) = (watch::Sender::new(control.version()), watch::Sender::new(now));
        let traces = Traces::start(&data.join("traces"), config.own.ring_bytes, config.own.keep_ms)?;
        let judging = Judging::start(traces.ring.clone(), config.own.judge_requests)?;
        let inner = Mutex::new(Inner { control, listed: Vec::new(), list: 0, next_tick: 0 });
        let (own, pages) = (config.own, Mutex::default());
        let host = Host { own, clock, inner, judging, pages, traces, tables, findings };
        let mut inner = host.inner();
        inner.list(state);
        host.effects(&inner, effects);
        drop(inner);
        Ok(Arc::new(host))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Unix time in milliseconds that never goes back.
    pub fn now(&self) -> u64 {
        self.clock.now()
    }

    /// For the writer: takes a proposal. Its record is to be written, then [`Host::settle`]d.
    pub fn propose(&self, proposal: Proposal, state: &State) -> Result<AcceptedProposal, ProposalError> {
        let mut inner = self.inner();
        inner.list(state);
        let Inner { control, listed, .. } = &mut *inner;
        control.propose(self.now(), proposal, listed)
    }

    /// For the writer: what time brings. A decision is to be written, then [`Host::settle`]d.
    pub fn tick(&self, state: &State) -> Option<RouteRecord> {
        let now = self.now();
        let mut inner = self.inner();
        if now < inner.next_tick {
            return None;
        }
        inner.next_tick = now + TICK_MS;
        inner.list(state);
        let mut effects = Vec::new();
        if let Some(verdict) = self.judging.take() {
            info!(from = verdict.from, digest = verdict.digest, requests = verdict.requests,
                decision = %json!(verdict.decision), "proposal judged");
            match inner.control.receive_verdict(now, verdict) {
                Ok(more) => effects.extend(more),
                Err(stale) => debug!(%stale, "verdict passed over"),
            }
        }
        effects.extend(inner.control.tick(now));
        self.effects(&inner, effects)
    }

    /// For the writer: a decision's record is on disk, or could not be written.
    pub fn settle(&self, record: RouteRecord, written: bool) {
        let mut inner = self.inner();
        if !written {
            return inner.control.discard_pending();
        }
        let stage =
            record.active.as_ref().and_then(|work| Some((work.table.revision, work.rollout.as_ref()?.stage)));
        info!(change = record.change, in_force = record.in_force.revision, rolling = ?stage, "route table changed");
        let effects = inner.control.apply(self.now(), record);
        self.effects(&inner, effects);
    }

    /// Whether a record can be read again from the log.
    pub fn fits(record: &RouteRecord) -> Result<(), TooLong> {
        let bytes = Record::Routes(Box::new(record.clone())).encode().map_or(usize::MAX, |text| text.len());
        if bytes <= MAX_RECORD { Ok(()) } else { Err(TooLong { bytes }) }
    }

    /// Does what was decided; the record that is to be written, if there is one.
    fn effects(&self, inner: &Inner, effects: Vec<Effect>) -> Option<RouteRecord> {
        let mut record = None;
        for effect in effects {
            match effect {
                Effect::Persist(decided) => record = Some(*decided),
                Effect::Evaluate { table, in_force } => {
                    self.judging.begin(table.revision, self.job(inner, table, in_force))
                }
                Effect::CancelEvaluation { revision } => self.judging.cancel(revision),
                Effect::Publish { version } => {
                    self.tables.send_replace(version);
                }
                Effect::Raised(finding) => {
                    let Finding {
                        kind, proxy, proxies, examples: some, since_ms, evidence, what_to_do, ..
                    } = finding;
                    let kind = json!(kind);
                    warn!(
                        kind = kind.as_str(),
                        proxy,
                        proxies,
                        ?some,
                        since_ms,
                        evidence,
                        what_to_do,
                        "drift raised"
                    );
                    self.findings.send_modify(|version| *version += 1);
                }
                Effect::Cleared(finding) => {
                    let Finding { kind, proxy, proxies, since_ms, .. } = finding;
                    let kind = json!(kind);
                    info!(kind = kind.as_str(), proxy, proxies, since_ms, "drift cleared");
                    self.findings.send_modify(|version| *version += 1);
                }
            }
        }
        record
    }

    fn job(&self, inner: &Inner, table: Table, in_force: Table) -> Job {
        let listed = inner.listed.iter().cloned();
        Job {
            from: in_force.revision,
            in_force: in_force.weights,
            seed: table.revision,
            proposal: table.weights,
            list_version: inner.list,
            listed: listed
                .map(|Backend { host, class, zone, share }| Listed { host, class, zone, share })
                .collect(),
            fleet: self.own.fleet,
            tier: self.own.tier,
            now_ms: self.now() as f64,
            bounds: self.own.bounds.clone(),
            seeds: self.own.judge_seeds,
            threads: self.own.judge_threads,
        }
    }

    /// Takes a proxy's report.
    pub fn report(&self, report: Report) -> Result<(), ReportError> {
        let mut inner = self.inner();
        inner.control.receive_report(self.now(), report)
    }

    /// The table meant for a proxy, as it is answered, and its revision.
    pub fn meant_for(&self, name: &str) -> serde_json::Result<(Revision, Bytes)> {
        let inner = self.inner();
        let (table, newest) = (inner.control.target_table(name), inner.control.newest_revision());
        let mut pages = self.pages.lock().unwrap_or_else(|p| p.into_inner());
        Ok((table.revision, pages.get(table, newest)?))
    }

    /// The state of the table and of the judging.
    pub fn state_page(&self) -> (StatePage, Option<Value>) {
        (self.inner().control.state_page(), self.judging.page())
    }

    /// The state of the fleet, and its version.
    pub fn drift_page(&self) -> (u64, DriftPage) {
        let inner = self.inner();
        (*self.findings.borrow(), inner.control.drift_page(self.now()))
    }
}

impl Inner {
    /// Takes the list of backends if it has changed: that of the service of no name, as the table is.
    fn list(&mut self, state: &State) {
        let service = ServiceName::default();
        let version = state.catalog.version(&service);
        if self.list == version {
            return;
        }
        self.list = version;
        let backend = |e: &Entry| Backend {
            host: e.host.clone(),
            class: e.class.clone(),
            zone: e.site.clone(),
            share: e.share,
        };
        self.listed = state.catalog.entries(&service).map(|change| backend(&change.entry)).collect();
        self.listed.sort_by(|a, b| a.host.cmp(&b.host));
        self.control.update_backends(&self.listed);
    }
}
