//! A fleet of simulated proxies on a clock of its own, in front of a [`Control`] with a log that survives it.

#![allow(dead_code, unused_imports)] // each test and benchmark uses its part

mod faults;
mod reports;

pub use faults::*;

use load_balancer::replay::{Decision, Verdict};
use load_balancer::route_table::*;
use std::collections::BTreeMap;

/// When each simulation begins, Unix time in milliseconds.
pub const START: u64 = 1_764_633_600_000;
/// Calls of a proxy to each of its backends in a window.
const CALLS: f64 = 60.0;
/// Backends of a proxy.
const SUBSET: usize = 4;

/// One proxy.
#[derive(Clone)]
pub struct Proxy {
    pub name: String,
    pub generation: u64,
    pub number: u64,
    pub table: Table,
    /// What it reports instead of the table's digest.
    pub spoilt: Option<String>,
    /// Runs.
    pub up: bool,
    /// Reaches the registry.
    pub linked: bool,
    /// Takes new tables.
    pub takes: bool,
    /// Spreads its calls evenly whatever the weights say.
    pub even: bool,
    pub next_ms: u64,
}

/// The fleet, the control and what came of it.
pub struct Fleet {
    pub control: Control,
    pub config: Config,
    pub now: u64,
    pub proxies: Vec<Proxy>,
    pub listed: Vec<Backend>,
    /// Share of reports that are lost, come twice, and come up to 8 s late.
    pub loss: f64,
    pub twice: f64,
    pub late: f64,
    /// Share of calls that fail, by backend.
    pub ill: BTreeMap<String, f64>,
    /// What a proposal's replay says.
    pub says: Decision,
    pub log: Vec<RouteRecord>,
    pub raised: Vec<(u64, Finding)>,
    pub cleared: Vec<(u64, Finding)>,
    pub judged: usize,
    pub cancelled: usize,
    pub rng: fastrand::Rng,
    alive: u32,
    delayed: Vec<(u64, Report)>,
}

/// The configuration without verdicts.
pub fn unjudged() -> Config {
    Config { require_verdict: false, ..Config::default() }
}

/// The backends b0, b1 ... of two zones.
pub fn backends(count: usize) -> Vec<Backend> {
    let of = |n: usize| Backend {
        host: format!("b{n}"),
        class: "m".into(),
        zone: ["east", "west"][n % 2].into(),
        share: 1.0,
    };
    (0..count).map(of).collect()
}

/// A proposal of some backends' weights.
pub fn proposal(from: Revision, weights: &[(&str, f64)]) -> Proposal {
    let backends = weights.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    let weights = Weights { backends, ..Weights::default() };
    Proposal { from, weights, by: "op".into(), override_why: None }
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
            spoilt: None,
            up: true,
            linked: true,
            takes: true,
            even: false,
            next_ms: START + rng.u64(0..config.report_ms),
        };
        let mut fleet = Fleet {
            proxies: (0..size).map(proxy).collect(),
            control,
            config,
            now: START,
            listed: backends(8),
            loss: 0.0,
            twice: 0.0,
            late: 0.0,
            ill: BTreeMap::new(),
            says: Decision::Admit,
            log: Vec::new(),
            raised: Vec::new(),
            cleared: Vec::new(),
            judged: 0,
            cancelled: 0,
            rng,
            alive: size as u32,
            delayed: Vec::new(),
        };
        fleet.control.update_backends(&fleet.listed);
        fleet
    }

    /// Goes on for so long.
    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 1000.min(until - self.now);
            self.reports();
            let effects = self.control.tick(self.now);
            self.take(effects);
            self.watches();
        }
    }

    /// Goes on until something holds, or for so long; tells whether it does.
    pub fn until(&mut self, ms: u64, what: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.now + ms;
        while !what(self) && self.now < end {
            self.run(1000);
        }
        what(self)
    }

    /// Proposes, and stores what was taken.
    pub fn propose(&mut self, proposal: Proposal) -> Result<Revision, ProposalError> {
        let outcome = self.control.propose(self.now, proposal, &self.listed)?;
        self.take(vec![Effect::Persist(Box::new(outcome.record))]);
        Ok(outcome.table.revision)
    }

    /// The registry is killed; it starts with the first `kept` records of its log, some twice.
    pub fn kill(&mut self, kept: usize) {
        self.log.truncate(kept);
        let read =
            |record| serde_json::from_str(&serde_json::to_string(record).expect("written")).expect("read");
        let records: Vec<RouteRecord> = self.log.iter().chain(&self.log).map(read).collect();
        let (control, effects) = Control::restore(self.config.clone(), records, self.now);
        self.control = control;
        self.control.update_backends(&self.listed);
        self.take(effects);
    }

    /// Does what the control asks for.
    pub fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist(record) => {
                    self.log.push(*record.clone());
                    let effects = self.control.apply(self.now, *record);
                    self.take(effects);
                }
                Effect::Evaluate { table, in_force } => {
                    self.judged += 1;
                    let (digest, decision) = (table.digest, self.says.clone());
                    let (records, from) = ("r".into(), in_force.revision);
                    let (requests, proposed) = (1, None);
                    let verdict =
                        Verdict { from, digest, records, requests, decision, in_force: None, proposed };
                    let effects = self.control.receive_verdict(self.now, verdict).expect("awaited");
                    self.take(effects);
                }
                Effect::CancelEvaluation { .. } => self.cancelled += 1,
                Effect::Publish { version } => assert_eq!(version, self.control.version()),
                Effect::Raised(finding) => self.raised.push((self.now, finding)),
                Effect::Cleared(finding) => self.cleared.push((self.now, finding)),
            }
        }
    }

    /// Kinds that are raised now, with their proxy, or how many.
    pub fn findings(&self) -> Vec<(FindingKind, Option<String>, usize)> {
        let of = |f: Finding| (f.kind, f.proxy, f.proxies);
        self.control.drift_page(self.now).findings.into_iter().map(of).collect()
    }

    /// How the last proposal ended.
    pub fn end(&self) -> Option<ProposalOutcome> {
        self.control.state_page().ended.last().map(|past| past.end.clone())
    }

    /// How many have a revision.
    pub fn having(&self, revision: Revision) -> usize {
        self.proxies.iter().filter(|p| p.table.revision == revision).count()
    }

    /// A new process under the same name.
    pub fn restart(&mut self, n: usize) {
        let now = self.now;
        let proxy = &mut self.proxies[n];
        (proxy.generation, proxy.number, proxy.up) = (now * 1000, 0, true);
    }
}
