//! A random life of an instance: arrivals, outcomes, a list that changes, route tables, and peers that come and go.

#[path = "changes.rs"]
mod changes;
#[path = "record.rs"]
mod record;

use crate::conditions::Conditions;
use load_balancer::Balancer;
use load_balancer::interface::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Steps of a life, and how long each is.
const STEPS: usize = 1500;
const STEP_MS: f64 = 20.0;
/// Time after which attempts without an answer time out.
const CALL_TIMEOUT_MS: f64 = 800.0;

struct Call {
    request: RequestId,
    attempt: AttemptNo,
    backend: BackendId,
    sent: f64,
    due: f64,
}

/// An instance and its surroundings.
pub struct Life {
    conditions: Conditions,
    rng: fastrand::Rng,
    balancer: Balancer,
    now: f64,
    next: RequestId,
    listed: BTreeMap<BackendId, Entry>,
    open: BTreeMap<RequestId, AttemptNo>,
    calls: Vec<Call>,
    timers: Vec<(f64, u64)>,
    text: String,
}

impl Life {
    pub fn new(conditions: Conditions) -> Self {
        let balancer = Balancer::new(conditions.settings.clone(), conditions.seed).expect("sound settings");
        let rng = fastrand::Rng::with_seed(conditions.seed);
        let (listed, open) = (BTreeMap::new(), BTreeMap::new());
        let (calls, timers, text) = (Vec::new(), Vec::new(), String::new());
        Life { conditions, rng, balancer, now: 50_000.0, next: 1, listed, open, calls, timers, text }
    }

    /// Lives it; all decisions of the instance, as text.
    pub fn run(mut self) -> String {
        (1..=self.conditions.backends).for_each(|id| self.add(id));
        let entries = self.listed.values().cloned().collect();
        self.notify(Event::List { kind: ListKind::Cached, entries });
        for step in 0..STEPS {
            self.step();
            if step % 100 == 0 {
                self.record_introspection();
            }
        }
        self.record_introspection();
        self.text
    }

    fn add(&mut self, id: BackendId) {
        let cold = self.rng.f64() < self.conditions.cold_share;
        let started_at = if cold { self.now - 6000.0 * self.rng.f64() } else { 0.0 };
        let weight = if self.conditions.weighted { [0.0, 0.3, 1.0, 2.7][self.rng.usize(..4)] } else { 1.0 };
        let (zone, cell) = (self.rng.u16(..self.conditions.zones), self.rng.u16(..5));
        let backend = id.wrapping_mul(2_654_435_761);
        let entry = Entry { backend, phase: Phase::Ready, zone, started_at_ms: started_at, weight, cell };
        self.listed.insert(backend, entry);
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.u32(..1000) < per_mille
    }

    fn step(&mut self) {
        for _ in 0..self.rng.usize(..=self.conditions.arrivals) {
            self.arrive();
        }
        if self.chance(self.conditions.changes) {
            self.change();
        }
        if self.chance(self.conditions.restarts) {
            self.restart();
        }
        if self.chance(self.conditions.losses) {
            self.lose_entries();
        }
        if self.chance(self.conditions.tables) {
            self.change_route_weights();
        }
        if self.chance(self.conditions.peers) {
            let (alive, known) = (1 + self.rng.u32(..20), 1 + self.rng.u32(..30));
            let rank = self.rng.bool().then(|| self.rng.u32(..20));
            self.notify(Event::Peers { alive, known, rank });
            let processes = 1 + self.rng.u32(..2);
            self.notify(Event::LocalProcesses { processes });
        }
        self.pass_time(self.now + STEP_MS);
    }

    fn arrive(&mut self) {
        let (request, class) = (self.next, self.rng.u16(..5));
        self.next += 1;
        self.open.insert(request, 0);
        let (key, tenant, body_pending) = (self.rng.u64(..30), self.rng.u16(..2), self.chance(30));
        let deadline = if body_pending { f64::MAX } else { self.now + 20.0 + 1000.0 * self.rng.f64() };
        self.notify(Event::Request(Arrival {
            request,
            key,
            class,
            tenant,
            deadline_ms: deadline,
            body_pending,
        }));
        if body_pending && self.chance(900) {
            self.notify(Event::BodyComplete { request, deadline_ms: self.now + 700.0 });
        } else if body_pending || self.chance(10) {
            self.client_gone(request);
        }
    }

    fn client_gone(&mut self, request: RequestId) {
        self.open.remove(&request);
        self.notify(Event::ClientGone { request });
    }

    fn pass_time(&mut self, to: f64) {
        while self.now < to {
            self.now += 5.0;
            let now = self.now;
            let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter().for_each(|token| self.notify(Event::TimerFired { token }));
            let (over, calls) = std::mem::take(&mut self.calls).into_iter().partition(|o| o.due <= now);
            self.calls = calls;
            over.into_iter().for_each(|o| self.resolve(o));
        }
    }

    fn resolve(&mut self, call: Call) {
        let Call { request, attempt, backend, sent, due } = call;
        let faulty = f64::from(backend % 1000) < 1000.0 * self.conditions.faulty_share;
        let wait = self.now - sent;
        let outcome = match self.rng.u32(..100) {
            _ if due - sent >= CALL_TIMEOUT_MS => Outcome::Timeout,
            0..60 if faulty && backend % 3 == 0 => Outcome::Error,
            0..70 if faulty && backend % 3 == 1 => Outcome::ConnectFailed,
            0 => Outcome::Rejected,
            1 => Outcome::Reset,
            2 => Outcome::Error,
            _ => Outcome::Ok,
        };
        if outcome == Outcome::Ok {
            self.open.remove(&request);
        }
        let (closed, consumed) = (!self.open.contains_key(&request), false);
        self.notify(Event::Resolved(Resolved {
            request,
            attempt,
            backend,
            outcome,
            latency_ms: wait,
            request_ended: closed,
            body_consumed: consumed,
        }));
    }

    fn notify(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            writeln!(self.text, "{} {}", self.now, record::action(&action)).expect("a string takes it");
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, .. } => self.send(request, backend),
            Action::SetTimer { delay_ms: delay, token } => self.timers.push((self.now + delay, token)),
            Action::Reject { request, .. } | Action::Fail { request } => drop(self.open.remove(&request)),
            Action::Cancel { request, attempt } => {
                let now = self.now;
                let cancelled =
                    self.calls.iter_mut().filter(|o| o.request == request && o.attempt == attempt);
                cancelled.for_each(|o| o.due = now);
            }
            Action::CloseIdle { .. } | Action::Watch { .. } | Action::Withdraw { .. } | Action::Resync => {}
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId) {
        let attempt = self.open.get(&request).copied().unwrap_or_default();
        self.open.entry(request).and_modify(|n| *n += 1);
        let faulty = f64::from(backend % 1000) < 1000.0 * self.conditions.faulty_share;
        let slow = if faulty && backend % 3 == 2 { 8.0 } else { 1.0 };
        let wait = slow * (10.0 + 60.0 * self.rng.f64().powi(2));
        let silent = self.rng.u32(..200) == 0;
        let due = self.now + if silent { CALL_TIMEOUT_MS } else { wait.min(CALL_TIMEOUT_MS) };
        self.calls.push(Call { request, attempt, backend, sent: self.now, due });
    }

    /// The figures for operators are part of the digest.
    fn record_introspection(&mut self) {
        let census = self.balancer.census();
        let weights: f64 = self.balancer.weights().map(|(_, weight)| weight).sum();
        writeln!(self.text, "{} {weights}", record::census(&census)).expect("a string takes it");
        for (backend, standing) in self.balancer.traffic_shares(self.now) {
            writeln!(self.text, "{backend} {}", record::traffic_share(standing)).expect("a string takes it");
        }
    }
}
