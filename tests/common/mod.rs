//! The proxy's side of the balancer's interface: delivers valid events on a simulated clock and records every
//! attempt and outcome, against which the rules are checked. Backends are not modelled: a test supplies the
//! outcomes.
#![allow(dead_code)]

mod events;
mod rules;

use load_balancer::Balancer;
use load_balancer::interface::*;
use std::collections::{BTreeMap, HashMap};

/// How long after its deadline a request may be answered.
pub const DEADLINE_GRACE_MS: f64 = 20.0;

pub fn class(objective_ms: f64, priority_weight: f64, idempotency: Idempotency) -> Class {
    Class { latency_objective_ms: objective_ms, priority_weight, idempotency, in_order: false }
}

pub fn settings(instances: u32, classes: Vec<Class>) -> Settings {
    Settings {
        instance_count: instances,
        tick_ms: 5.0,
        over_quota_weight: 0.05,
        classes,
        caps: Caps { cancelling: true, retry_after: true, max_retry_after_ms: 2000.0, max_attempts: 6 },
        rules: Rules {
            initial_capacity: 0.12,
            warm_up_ms: 20_000.0,
            overload_multiple: 3.0,
            max_silence_ms: 10_000.0,
            idle_close_within_ms: 500.0,
            key_settle_ms: 300.0,
        },
        ..Settings::default()
    }
}

pub fn entry(backend: BackendId) -> Entry {
    Entry { backend, weight: 1.0, ..Entry::default() }
}

pub fn entries(n: u32) -> Vec<Entry> {
    (1..=n).map(entry).collect()
}

/// An attempt sent to a backend.
#[derive(Debug, Clone)]
pub struct Sent {
    pub backend: BackendId,
    pub sent_at: f64,
    pub deadline: f64,
    pub outcome: Option<Outcome>,
    /// When the outcome arrived.
    pub resolved_at: f64,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    Served,
    Rejected,
    Failed,
    ClientGone,
}

/// A request with all its attempts.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub key: u64,
    pub class: usize,
    pub deadline: f64,
    pub sends: Vec<Sent>,
    /// When and how the request ended.
    pub ended: Option<(f64, RequestEnd)>,
}

/// A proxy that drives one balancer.
pub struct Proxy {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now: f64,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    pub listed: HashMap<BackendId, Entry>,
    /// When the proxy was asked to watch the list.
    pub watches: Vec<f64>,
    /// Backends withdrawn, in order.
    pub withdrawn: Vec<BackendId>,
    /// When the full list was requested.
    pub resyncs: Vec<f64>,
    /// When the idle connections of each backend were last closed.
    pub idle_closed_at: HashMap<BackendId, f64>,
    /// Attempts cancelled and still without an outcome.
    cancelled: Vec<(RequestId, usize)>,
    /// Due time and token.
    timers: Vec<(f64, u64)>,
    next_request: RequestId,
}

impl Proxy {
    pub fn new(settings: Settings, seed: u64, list: Vec<Entry>) -> Self {
        let balancer = Balancer::new(settings.clone(), seed).expect("the settings are valid");
        let mut p = Proxy {
            balancer,
            settings,
            now: 1000.0,
            requests: BTreeMap::new(),
            listed: HashMap::new(),
            watches: Vec::new(),
            withdrawn: Vec::new(),
            resyncs: Vec::new(),
            idle_closed_at: HashMap::new(),
            cancelled: Vec::new(),
            timers: Vec::new(),
            next_request: 1,
        };
        p.list(ListKind::Cached, list);
        p
    }

    /// Delivers an endpoint list of the given kind.
    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        // With a list guard, the balancer itself reports the removals that it accepts.
        let guarded = self.settings.list_guard.panic_threshold > 0.0;
        if kind != ListKind::Delta && kind != ListKind::Failed && !guarded {
            self.listed.values_mut().for_each(|e| e.phase = Phase::Gone);
        }
        for e in entries.iter().filter(|e| !guarded || e.phase != Phase::Gone) {
            self.listed.insert(e.backend, e.clone());
        }
        let draining: Vec<_> = entries.iter().filter(|e| e.phase == Phase::Draining).cloned().collect();
        self.notify(Event::List { kind, entries });
        draining.iter().for_each(|e| self.check_idle_close(e.backend));
    }
}
