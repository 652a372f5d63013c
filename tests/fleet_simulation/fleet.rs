//! Discrete-event simulation of a fleet: instances, clients and backends on one clock.

use super::{Observations, RESTART_MS, Scenario, SentCall};
use load_balancer::Balancer;
use load_balancer::interface::*;
use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// When the instances start that serve before the restart.
const FLEET_START_MS: f64 = RESTART_MS - 4000.0;
/// When instances with a stale list learn of the restart, counted from it; the others know it earlier.
const MAX_LIST_DELAY_MS: f64 = 6000.0;
const DEADLINE_MS: f64 = 2000.0;

/// A change of the endpoint list.
#[derive(Clone, Copy, PartialEq)]
enum ListChange {
    /// The restarting backends are removed.
    Removed,
    /// The restarted backends are listed again.
    Restored,
    /// All backends but the restarted ones are removed.
    WarmRemoved,
}

/// An event of the simulation; the first field is the instance.
enum SimEvent {
    InstanceStart(usize),
    ListChange(usize, ListChange),
    Arrival(usize),
    Timer(usize, u64),
    Resolved(usize, Resolved),
}

/// A fleet of instances with their clients and backends.
pub(super) struct Fleet<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    instances: Vec<Option<Balancer>>,
    /// Requests a millisecond of each instance.
    rates: Vec<f64>,
    /// When each instance learns of the restart.
    informed_at_ms: Vec<f64>,
    /// Due time in microseconds and id of each event.
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: BTreeMap<usize, SimEvent>,
    next_event: usize,
    /// Work and number of the next attempt of each request.
    requests: BTreeMap<RequestId, (f64, AttemptNo)>,
    /// When each slot of each backend becomes free.
    slots: Vec<Vec<f64>>,
    mean_service_ms: f64,
    next_request: RequestId,
    pub(super) observations: Observations,
}

impl<'a> Fleet<'a> {
    pub(super) fn new(
        scenario: &'a Scenario,
        rng: StdRng,
        rates: Vec<f64>,
        observations: Observations,
    ) -> Self {
        let slots = (observations.capacity * 100.0).round().max(1.0);
        Fleet {
            scenario,
            rates,
            instances: (0..scenario.instances).map(|_| None).collect(),
            informed_at_ms: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            requests: BTreeMap::new(),
            slots: vec![vec![0.0; slots as usize]; scenario.backends + 1],
            mean_service_ms: slots / observations.capacity,
            next_request: 1,
            observations,
            rng,
        }
    }

    fn schedule(&mut self, at: f64, event: SimEvent) {
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse(((at * 1000.0) as u64, self.next_event)));
        self.next_event += 1;
    }

    pub(super) fn run(&mut self) {
        for instance in 0..self.scenario.instances {
            let is_new = self.rng.random::<f64>() < self.scenario.new_instance_share;
            let has_stale_list = self.rng.random::<f64>() < self.scenario.stale_list_share;
            let starts_at =
                if is_new { RESTART_MS } else { FLEET_START_MS } + 1000.0 * self.rng.random::<f64>();
            let informed_at = RESTART_MS
                + if has_stale_list { MAX_LIST_DELAY_MS } else { 200.0 * self.rng.random::<f64>() };
            self.informed_at_ms.push(informed_at);
            self.schedule(starts_at, SimEvent::InstanceStart(instance));
            if !has_stale_list && self.scenario.removed_ms > 0.0 {
                self.schedule(
                    RESTART_MS - self.scenario.removed_ms + 10.0,
                    SimEvent::ListChange(instance, ListChange::Removed),
                );
            }
            self.schedule(informed_at + 0.01, SimEvent::ListChange(instance, ListChange::Restored));
            if self.scenario.warm_removed_after_ms > 0.0 {
                let removed_at =
                    RESTART_MS + self.scenario.warm_removed_after_ms + 200.0 * self.rng.random::<f64>();
                self.schedule(removed_at, SimEvent::ListChange(instance, ListChange::WarmRemoved));
            }
        }
        while let Some(Reverse((micros, id))) = self.queue.pop() {
            let now = micros as f64 / 1000.0;
            if now > RESTART_MS + self.scenario.observed_ms {
                break;
            }
            match self.events.remove(&id).expect("every queued id has an event") {
                SimEvent::InstanceStart(instance) => self.start(now, instance),
                SimEvent::ListChange(instance, change) if self.instances[instance].is_some() => {
                    self.list(now, instance, change)
                }
                SimEvent::ListChange(..) => {}
                SimEvent::Arrival(instance) => self.arrive(now, instance),
                SimEvent::Timer(instance, token) => self.deliver(now, instance, Event::TimerFired { token }),
                SimEvent::Resolved(instance, resolved) => {
                    self.deliver(now, instance, Event::Resolved(resolved));
                }
            }
        }
    }

    fn entries(&self, from: usize, now: f64, informed_at_ms: f64) -> Vec<Entry> {
        let cold = |b: usize| b <= self.scenario.cold_backends && now >= informed_at_ms;
        let entry = |b: usize| Entry {
            backend: b as BackendId * 7919 % 100_003,
            weight: 1.0,
            started_at_ms: if cold(b) { RESTART_MS } else { 0.0 },
            zone: (b % 3) as u16,
            ..Entry::default()
        };
        (from..=self.scenario.backends).map(entry).collect()
    }

    fn start(&mut self, now: f64, instance: usize) {
        let class = |objective_ms, priority_weight| Class {
            latency_objective_ms: objective_ms,
            priority_weight,
            idempotency: Idempotency::Idempotent,
            in_order: false,
        };
        let settings = Settings {
            instance_index: instance as u32,
            instance_count: self.scenario.instances as u32,
            tick_ms: 5.0,
            zone: (instance % 3) as u16,
            over_quota_weight: 0.05,
            classes: vec![class(1000.0, 1.0), class(2000.0, 3.0)],
            caps: Caps { cancelling: true, retry_after: true, max_retry_after_ms: 1000.0, max_attempts: 4 },
            rules: self.scenario.rules.clone(),
            ..Settings::default()
        };
        self.instances[instance] = Some(
            Balancer::new(settings, self.scenario.seed ^ instance as u64).expect("the settings are valid"),
        );
        let entries = self.entries(1, now, self.informed_at_ms[instance]);
        self.deliver(now, instance, Event::List { kind: ListKind::Full, entries });
        self.next_arrival(now, instance);
    }

    fn list(&mut self, now: f64, instance: usize, change: ListChange) {
        let mut entries = self.entries(1, now, self.informed_at_ms[instance]);
        match change {
            ListChange::WarmRemoved => drop(entries.drain(..self.scenario.cold_backends)),
            _ => entries.truncate(self.scenario.cold_backends),
        }
        entries
            .iter_mut()
            .for_each(|e| e.phase = if change == ListChange::Restored { Phase::Ready } else { Phase::Gone });
        self.deliver(now, instance, Event::List { kind: ListKind::Delta, entries });
    }

    fn next_arrival(&mut self, now: f64, instance: usize) {
        let load_factor = if now >= RESTART_MS { self.scenario.load_factor } else { 1.0 };
        let gap: f64 =
            Exp::new(self.rates[instance] * load_factor).expect("the rate is positive").sample(&mut self.rng);
        self.schedule(now + gap, SimEvent::Arrival(instance));
    }

    fn arrive(&mut self, now: f64, instance: usize) {
        self.next_arrival(now, instance);
        let request = self.next_request;
        self.next_request += 1;
        let class = u16::from(self.rng.random::<f64>() < 0.25);
        self.requests.insert(request, ([0.8, 1.6][usize::from(class)], 0)); // the mean over all requests is 1
        let deadline = now + DEADLINE_MS;
        let arrival =
            Arrival { request, key: 0, class, tenant: 0, deadline_ms: deadline, body_pending: false };
        self.deliver(now, instance, Event::Request(arrival));
    }

    fn deliver(&mut self, now: f64, instance: usize, event: Event) {
        let mut actions = Vec::new();
        self.instances[instance].as_mut().expect("the instance has started").handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { delay_ms, token } => {
                    self.schedule(now + delay_ms, SimEvent::Timer(instance, token))
                }
                Action::Send { request, backend, deadline_ms } => {
                    self.send(now, instance, (request, backend, deadline_ms));
                }
                _ => {}
            }
        }
    }

    fn send(
        &mut self,
        now: f64,
        instance: usize,
        (request, backend, deadline_ms): (RequestId, BackendId, f64),
    ) {
        let b = (1..=self.scenario.backends)
            .find(|&b| b as BackendId * 7919 % 100_003 == backend)
            .expect("a send goes to a known backend");
        let (work, attempt) = self.requests[&request];
        self.requests.insert(request, (work, attempt + 1));
        let cold = b <= self.scenario.cold_backends && now >= RESTART_MS;
        if cold {
            self.observations.sent[b - 1].push(SentCall {
                after_restart_ms: now - RESTART_MS,
                work,
                sender_informed: now >= self.informed_at_ms[instance],
            });
        }
        let unreachable = b <= self.scenario.cold_backends
            && (RESTART_MS - self.scenario.removed_ms..RESTART_MS).contains(&now);
        let capacity_fraction = if cold { self.scenario.capacity_fraction(now - RESTART_MS) } else { 1.0 };
        let (outcome, end) = if unreachable {
            (Outcome::ConnectFailed, now + 2.0)
        } else if self.scenario.has_failing_backend && b == self.scenario.backends {
            (Outcome::Error, now + 5.0)
        } else {
            let service_ms: f64 = Exp::new(1.0 / (self.mean_service_ms * work / capacity_fraction))
                .expect("the rate is positive")
                .sample(&mut self.rng);
            let slot = self.slots[b].iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a backend has a slot");
            if *slot > now + 1000.0 {
                (Outcome::Rejected, now + 2.0)
            } else {
                *slot = slot.max(now) + service_ms;
                if *slot > deadline_ms { (Outcome::Timeout, deadline_ms) } else { (Outcome::Ok, *slot) }
            }
        };
        let resolved = Resolved {
            request,
            attempt,
            backend,
            outcome,
            latency_ms: end - now,
            request_ended: outcome == Outcome::Ok,
            body_consumed: false,
        };
        self.schedule(end, SimEvent::Resolved(instance, resolved));
    }
}
