//! A random run of an instance: arrivals, outcomes, list changes, route tables and membership changes.

#[path = "changes.rs"]
mod changes;
#[path = "record.rs"]
mod record;

use crate::scenario::Scenario;
use load_balancer::Balancer;
use load_balancer::interface::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The number of steps in a run.
const STEPS: usize = 1500;
/// The duration of a step.
const STEP_MS: f64 = 20.0;
/// The time after which an attempt without a response times out.
const CALL_TIMEOUT_MS: f64 = 800.0;

/// An attempt in flight.
struct Call {
    request: RequestId,
    attempt: AttemptNo,
    backend: BackendId,
    sent_at: f64,
    due_at: f64,
}

/// An instance with its backends, clients and list.
pub struct RandomRun {
    scenario: Scenario,
    rng: fastrand::Rng,
    balancer: Balancer,
    now: f64,
    next_request: RequestId,
    listed: BTreeMap<BackendId, Entry>,
    /// The number of the next attempt of each open request.
    open: BTreeMap<RequestId, AttemptNo>,
    calls: Vec<Call>,
    /// Due time and token.
    timers: Vec<(f64, u64)>,
    text: String,
}

impl RandomRun {
    pub fn new(scenario: Scenario) -> Self {
        let balancer =
            Balancer::new(scenario.settings.clone(), scenario.seed).expect("the settings are valid");
        let rng = fastrand::Rng::with_seed(scenario.seed);
        let (listed, open) = (BTreeMap::new(), BTreeMap::new());
        let (calls, timers, text) = (Vec::new(), Vec::new(), String::new());
        RandomRun {
            scenario,
            rng,
            balancer,
            now: 50_000.0,
            next_request: 1,
            listed,
            open,
            calls,
            timers,
            text,
        }
    }

    /// Runs all steps and returns the decisions of the instance as text.
    pub fn run(mut self) -> String {
        (1..=self.scenario.backends).for_each(|id| self.add(id));
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
        let cold = self.rng.f64() < self.scenario.cold_share;
        let started_at = if cold { self.now - 6000.0 * self.rng.f64() } else { 0.0 };
        let weight = if self.scenario.has_weights { [0.0, 0.3, 1.0, 2.7][self.rng.usize(..4)] } else { 1.0 };
        let (zone, cell) = (self.rng.u16(..self.scenario.zones), self.rng.u16(..5));
        let backend = id.wrapping_mul(2_654_435_761);
        let entry = Entry { backend, phase: Phase::Ready, zone, started_at_ms: started_at, weight, cell };
        self.listed.insert(backend, entry);
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.u32(..1000) < per_mille
    }

    fn step(&mut self) {
        for _ in 0..self.rng.usize(..=self.scenario.max_arrivals) {
            self.arrive();
        }
        if self.chance(self.scenario.entry_changes) {
            self.change_entries();
        }
        if self.chance(self.scenario.restarts) {
            self.restart_backends();
        }
        if self.chance(self.scenario.list_losses) {
            self.lose_entries();
        }
        if self.chance(self.scenario.route_table_changes) {
            self.change_route_weights();
        }
        if self.chance(self.scenario.peer_changes) {
            let (alive, known) = (1 + self.rng.u32(..20), 1 + self.rng.u32(..30));
            let rank = self.rng.bool().then(|| self.rng.u32(..20));
            self.notify(Event::Peers { alive, known, rank });
            let processes = 1 + self.rng.u32(..2);
            self.notify(Event::LocalProcesses { processes });
        }
        self.advance(self.now + STEP_MS);
    }

    fn arrive(&mut self) {
        let (request, class) = (self.next_request, self.rng.u16(..5));
        self.next_request += 1;
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

    fn advance(&mut self, to: f64) {
        while self.now < to {
            self.now += 5.0;
            let now = self.now;
            let due: Vec<u64> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter().for_each(|token| self.notify(Event::TimerFired { token }));
            let (ended, calls): (Vec<Call>, Vec<Call>) =
                std::mem::take(&mut self.calls).into_iter().partition(|c: &Call| c.due_at <= now);
            self.calls = calls;
            ended.into_iter().for_each(|call| self.resolve(call));
        }
    }

    fn resolve(&mut self, call: Call) {
        let Call { request, attempt, backend, sent_at, due_at } = call;
        let faulty = f64::from(backend % 1000) < 1000.0 * self.scenario.faulty_share;
        let latency_ms = self.now - sent_at;
        let outcome = match self.rng.u32(..100) {
            _ if due_at - sent_at >= CALL_TIMEOUT_MS => Outcome::Timeout,
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
        let request_ended = !self.open.contains_key(&request);
        self.notify(Event::Resolved(Resolved {
            request,
            attempt,
            backend,
            outcome,
            latency_ms,
            request_ended,
            body_consumed: false,
        }));
    }

    fn notify(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            writeln!(self.text, "{} {}", self.now, record::action(&action))
                .expect("writing to a string succeeds");
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, .. } => self.send(request, backend),
            Action::SetTimer { delay_ms, token } => self.timers.push((self.now + delay_ms, token)),
            Action::Reject { request, .. } | Action::Fail { request } => drop(self.open.remove(&request)),
            Action::Cancel { request, attempt } => {
                let now = self.now;
                let cancelled =
                    self.calls.iter_mut().filter(|c| c.request == request && c.attempt == attempt);
                cancelled.for_each(|c| c.due_at = now);
            }
            Action::CloseIdle { .. } | Action::Watch { .. } | Action::Withdraw { .. } | Action::Resync => {}
        }
    }

    fn send(&mut self, request: RequestId, backend: BackendId) {
        let attempt = self.open.get(&request).copied().unwrap_or_default();
        self.open.entry(request).and_modify(|n| *n += 1);
        let faulty = f64::from(backend % 1000) < 1000.0 * self.scenario.faulty_share;
        let slowdown = if faulty && backend % 3 == 2 { 8.0 } else { 1.0 };
        let latency_ms = slowdown * (10.0 + 60.0 * self.rng.f64().powi(2));
        let is_lost = self.rng.u32(..200) == 0;
        let due_at = self.now + if is_lost { CALL_TIMEOUT_MS } else { latency_ms.min(CALL_TIMEOUT_MS) };
        self.calls.push(Call { request, attempt, backend, sent_at: self.now, due_at });
    }

    /// Adds the endpoint counts, weights and traffic shares that operators see to the text.
    fn record_introspection(&mut self) {
        let census = self.balancer.census();
        let weights: f64 = self.balancer.weights().map(|(_, weight)| weight).sum();
        writeln!(self.text, "{} {weights}", record::census(&census)).expect("writing to a string succeeds");
        for (backend, share) in self.balancer.traffic_shares(self.now) {
            writeln!(self.text, "{backend} {}", record::traffic_share(share))
                .expect("writing to a string succeeds");
        }
    }
}
