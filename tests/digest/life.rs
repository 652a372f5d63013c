//! A random life of a copy: arrivals, outcomes, a list that changes, route tables, and peers that come and go.

#[path = "news.rs"]
mod news;
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
/// Attempts that are left without an answer so long time out.
const PATIENCE_MS: f64 = 800.0;

struct Out {
    request: RequestId,
    attempt: AttemptNo,
    backend: BackendId,
    sent: f64,
    due: f64,
}

/// A copy and the world around it.
pub struct Life {
    conditions: Conditions,
    rng: fastrand::Rng,
    balancer: Balancer,
    now: f64,
    next: RequestId,
    listed: BTreeMap<BackendId, Entry>,
    open: BTreeMap<RequestId, AttemptNo>,
    out: Vec<Out>,
    timers: Vec<(f64, u64)>,
    text: String,
}

impl Life {
    pub fn new(conditions: Conditions) -> Self {
        let balancer = Balancer::new(conditions.settings.clone(), conditions.seed).expect("sound settings");
        let rng = fastrand::Rng::with_seed(conditions.seed);
        let (listed, open) = (BTreeMap::new(), BTreeMap::new());
        let (out, timers, text) = (Vec::new(), Vec::new(), String::new());
        Life { conditions, rng, balancer, now: 50_000.0, next: 1, listed, open, out, timers, text }
    }

    /// Lives it; all that the copy decided, as text.
    pub fn run(mut self) -> String {
        (1..=self.conditions.backends).for_each(|id| self.add(id));
        let entries = self.listed.values().cloned().collect();
        self.tell(Event::List { kind: ListKind::Cached, entries });
        for step in 0..STEPS {
            self.step();
            if step % 100 == 0 {
                self.look();
            }
        }
        self.look();
        self.text
    }

    fn add(&mut self, id: BackendId) {
        let cold = self.rng.f64() < self.conditions.cold_share;
        let started_at = if cold { self.now - 6000.0 * self.rng.f64() } else { 0.0 };
        let weight = if self.conditions.uneven { [0.0, 0.3, 1.0, 2.7][self.rng.usize(..4)] } else { 1.0 };
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
            self.lose();
        }
        if self.chance(self.conditions.tables) {
            self.weigh();
        }
        if self.chance(self.conditions.peers) {
            let (alive, known) = (1 + self.rng.u32(..20), 1 + self.rng.u32(..30));
            let rank = self.rng.bool().then(|| self.rng.u32(..20));
            self.tell(Event::Peers { alive, known, rank });
            let processes = 1 + self.rng.u32(..2);
            self.tell(Event::LocalProcesses { processes });
        }
        self.pass_time(self.now + STEP_MS);
    }

    fn arrive(&mut self) {
        let (request, class) = (self.next, self.rng.u16(..5));
        self.next += 1;
        self.open.insert(request, 0);
        let (key, tenant, coming) = (self.rng.u64(..30), self.rng.u16(..2), self.chance(30));
        let deadline = if coming { f64::MAX } else { self.now + 20.0 + 1000.0 * self.rng.f64() };
        self.tell(Event::Request(Arrival {
            request,
            key,
            class,
            tenant,
            deadline_ms: deadline,
            body_pending: coming,
        }));
        if coming && self.chance(900) {
            self.tell(Event::BodyComplete { request, deadline_ms: self.now + 700.0 });
        } else if coming || self.chance(10) {
            self.hang_up(request);
        }
    }

    fn hang_up(&mut self, request: RequestId) {
        self.open.remove(&request);
        self.tell(Event::ClientGone { request });
    }

    fn pass_time(&mut self, to: f64) {
        while self.now < to {
            self.now += 5.0;
            let now = self.now;
            let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter().for_each(|token| self.tell(Event::TimerFired { token }));
            let (over, out) = std::mem::take(&mut self.out).into_iter().partition(|o| o.due <= now);
            self.out = out;
            over.into_iter().for_each(|o| self.resolve(o));
        }
    }

    fn resolve(&mut self, out: Out) {
        let Out { request, attempt, backend, sent, due } = out;
        let ill = f64::from(backend % 1000) < 1000.0 * self.conditions.ill_share;
        let wait = self.now - sent;
        let outcome = match self.rng.u32(..100) {
            _ if due - sent >= PATIENCE_MS => Outcome::Timeout,
            0..60 if ill && backend % 3 == 0 => Outcome::Error,
            0..70 if ill && backend % 3 == 1 => Outcome::ConnectFailed,
            0 => Outcome::Rejected,
            1 => Outcome::Reset,
            2 => Outcome::Error,
            _ => Outcome::Ok,
        };
        if outcome == Outcome::Ok {
            self.open.remove(&request);
        }
        let (closed, spent) = (!self.open.contains_key(&request), false);
        self.tell(Event::Resolved(Resolved {
            request,
            attempt,
            backend,
            outcome,
            latency_ms: wait,
            request_ended: closed,
            body_consumed: spent,
        }));
    }

    fn tell(&mut self, event: Event) {
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
                let cancelled = self.out.iter_mut().filter(|o| o.request == request && o.attempt == attempt);
                cancelled.for_each(|o| o.due = now);
            }
            Action::CloseIdle { .. } | Action::Watch { .. } | Action::Withdraw { .. } | Action::Resync => {}
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId) {
        let attempt = self.open.get(&request).copied().unwrap_or_default();
        self.open.entry(request).and_modify(|n| *n += 1);
        let ill = f64::from(backend % 1000) < 1000.0 * self.conditions.ill_share;
        let slow = if ill && backend % 3 == 2 { 8.0 } else { 1.0 };
        let wait = slow * (10.0 + 60.0 * self.rng.f64().powi(2));
        let silent = self.rng.u32(..200) == 0;
        let due = self.now + if silent { PATIENCE_MS } else { wait.min(PATIENCE_MS) };
        self.out.push(Out { request, attempt, backend, sent: self.now, due });
    }

    /// What operators see is part of the digest.
    fn look(&mut self) {
        let census = self.balancer.census();
        let weights: f64 = self.balancer.weights().map(|(_, weight)| weight).sum();
        writeln!(self.text, "{} {weights}", record::census(&census)).expect("a string takes it");
        for (backend, standing) in self.balancer.standings(self.now) {
            writeln!(self.text, "{backend} {}", record::traffic_share(standing)).expect("a string takes it");
        }
    }
}
