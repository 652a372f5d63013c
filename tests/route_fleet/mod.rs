//! A fleet of simulated proxies on a simulated clock, with a [`Control`] whose log survives restarts.

#![allow(dead_code, unused_imports)] // each test and benchmark uses a part of this module

mod faults;
mod reports;

pub use faults::*;

use load_balancer::replay::{Decision, Verdict};
use load_balancer::route_table::*;
use std::collections::BTreeMap;

/// Start of each simulation, Unix time in milliseconds.
pub const START: u64 = 1_764_633_600_000;
/// Mean number of calls of a proxy to each of its backends in a window.
const CALLS: f64 = 60.0;
/// Number of backends in a proxy's subset.
const SUBSET: usize = 4;

/// A simulated proxy.
#[derive(Clone)]
pub struct Proxy {
    pub name: String,
    pub generation: u64,
    pub number: u64,
    pub table: Table,
    /// Digest that the proxy reports instead of its table's.
    pub reported_digest: Option<String>,
    /// Whether the process runs.
    pub running: bool,
    /// Whether the proxy reaches the registry.
    pub connected: bool,
    /// Whether the proxy applies new tables.
    pub applies_tables: bool,
    /// Whether the proxy distributes its calls evenly, whatever its weights.
    pub ignores_weights: bool,
    /// Time of the next report, Unix time in milliseconds.
    pub next_report_ms: u64,
}

/// The simulated fleet, the control that it reports to, and the effects so far.
pub struct Fleet {
    pub control: Control,
    pub config: Config,
    /// Simulated time, Unix time in milliseconds.
    pub now_ms: u64,
    pub proxies: Vec<Proxy>,
    pub listed: Vec<Backend>,
    /// Share of reports that are lost.
    pub loss_rate: f64,
    /// Share of reports that are delivered twice.
    pub duplicate_rate: f64,
    /// Share of reports that are delivered up to 8 s late.
    pub delay_rate: f64,
    /// Share of calls that fail, by backend.
    pub error_rates: BTreeMap<String, f64>,
    /// Decision of every evaluation's verdict.
    pub decision: Decision,
    /// Records on disk.
    pub log: Vec<RouteRecord>,
    /// Findings raised so far, with the time.
    pub raised: Vec<(u64, Finding)>,
    /// Findings cleared so far, with the time.
    pub cleared: Vec<(u64, Finding)>,
    /// Number of evaluations requested so far.
    pub evaluations: usize,
    /// Number of evaluations cancelled so far.
    pub cancelled_evaluations: usize,
    pub rng: fastrand::Rng,
    running_count: u32,
    /// Reports to deliver at a later time.
    delayed: Vec<(u64, Report)>,
}

/// The default configuration, but without verdicts.
pub fn config_without_verdicts() -> Config {
    Config { require_verdict: false, ..Config::default() }
}

/// Backends `b0`, `b1` and so on, alternating between two zones.
pub fn backends(count: usize) -> Vec<Backend> {
    let of = |n: usize| Backend {
        host: format!("b{n}"),
        class: "m".into(),
        zone: ["east", "west"][n % 2].into(),
        share: 1.0,
    };
    (0..count).map(of).collect()
}

/// A proposal of weights by backend, made from revision `from`.
pub fn proposal(from: Revision, weights: &[(&str, f64)]) -> Proposal {
    let backends = weights.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    let weights = Weights { backends, ..Weights::default() };
    Proposal { from, weights, by: "op".into(), override_reason: None }
}

impl Fleet {
    pub fn new(size: usize, config: Config, seed: u64) -> Fleet {
        let control = Control::new(config.clone(), START);
        let empty = control.in_force().clone();
        let mut rng = fastrand::Rng::with_seed(seed);
        let proxy = |n: usize| Proxy {
            name: format!("p{n}"),
            generation: START * 1000,
            number: 0,
            table: empty.clone(),
            reported_digest: None,
            running: true,
            connected: true,
            applies_tables: true,
            ignores_weights: false,
            next_report_ms: START + rng.u64(0..config.report_ms),
        };
        let mut fleet = Fleet {
            proxies: (0..size).map(proxy).collect(),
            control,
            config,
            now_ms: START,
            listed: backends(8),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay_rate: 0.0,
            error_rates: BTreeMap::new(),
            decision: Decision::Admit,
            log: Vec::new(),
            raised: Vec::new(),
            cleared: Vec::new(),
            evaluations: 0,
            cancelled_evaluations: 0,
            rng,
            running_count: size as u32,
            delayed: Vec::new(),
        };
        fleet.control.update_backends(&fleet.listed);
        fleet
    }

    /// Runs the simulation for a number of milliseconds, in steps of a second.
    pub fn run(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 1000.min(end_ms - self.now_ms);
            self.send_reports();
            let effects = self.control.tick(self.now_ms);
            self.apply_effects(effects);
            self.deliver_tables();
        }
    }

    /// Runs the simulation until a condition holds, for at most `ms` milliseconds. Returns whether it holds.
    pub fn run_until(&mut self, ms: u64, condition: impl Fn(&Fleet) -> bool) -> bool {
        let end_ms = self.now_ms + ms;
        while !condition(self) && self.now_ms < end_ms {
            self.run(1000);
        }
        condition(self)
    }

    /// Makes a proposal, and writes and applies its record if it is accepted. Returns its revision.
    pub fn propose(&mut self, proposal: Proposal) -> Result<Revision, ProposalError> {
        let accepted = self.control.propose(self.now_ms, proposal, &self.listed)?;
        self.apply_effects(vec![Effect::Persist(Box::new(accepted.record))]);
        Ok(accepted.table.revision)
    }

    /// Kills the registry and starts it with the first `kept` records of its log, each of them passed twice.
    pub fn restart_registry(&mut self, kept: usize) {
        self.log.truncate(kept);
        let round_trip = |record| {
            let json = serde_json::to_string(record).expect("a record is written as JSON");
            serde_json::from_str(&json).expect("a written record is read again")
        };
        let records: Vec<RouteRecord> = self.log.iter().chain(&self.log).map(round_trip).collect();
        let (control, effects) = Control::restore(self.config.clone(), records, self.now_ms);
        self.control = control;
        self.control.update_backends(&self.listed);
        self.apply_effects(effects);
    }

    /// Carries out the effects that the control returns. Evaluations get their verdict at once.
    pub fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist(record) => {
                    self.log.push(*record.clone());
                    let effects = self.control.apply(self.now_ms, *record);
                    self.apply_effects(effects);
                }
                Effect::Evaluate { table, in_force } => {
                    self.evaluations += 1;
                    let (digest, decision) = (table.digest, self.decision.clone());
                    let (records, from) = ("r".into(), in_force.revision);
                    let (requests, proposed) = (1, None);
                    let verdict =
                        Verdict { from, digest, records, requests, decision, in_force: None, proposed };
                    let effects =
                        self.control.receive_verdict(self.now_ms, verdict).expect("the verdict is awaited");
                    self.apply_effects(effects);
                }
                Effect::CancelEvaluation { .. } => self.cancelled_evaluations += 1,
                Effect::Publish { version } => assert_eq!(version, self.control.version()),
                Effect::Raised(finding) => self.raised.push((self.now_ms, finding)),
                Effect::Cleared(finding) => self.cleared.push((self.now_ms, finding)),
            }
        }
    }

    /// The raised findings: kind, proxy (`None` for a finding of the fleet) and number of proxies.
    pub fn findings(&self) -> Vec<(FindingKind, Option<String>, usize)> {
        let summary = |f: Finding| (f.kind, f.proxy, f.proxies);
        self.control.drift_page(self.now_ms).findings.into_iter().map(summary).collect()
    }

    /// The outcome of the last ended proposal.
    pub fn last_outcome(&self) -> Option<ProposalOutcome> {
        self.control.state_page().ended.last().map(|ended| ended.end.clone())
    }

    /// Number of proxies that have a revision in force.
    pub fn count_with_revision(&self, revision: Revision) -> usize {
        self.proxies.iter().filter(|p| p.table.revision == revision).count()
    }

    /// Starts a new process under the proxy's name.
    pub fn restart_proxy(&mut self, n: usize) {
        let now_ms = self.now_ms;
        let proxy = &mut self.proxies[n];
        (proxy.generation, proxy.number, proxy.running) = (now_ms * 1000, 0, true);
    }
}
