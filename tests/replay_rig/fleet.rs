//! The simulation of a fleet: decision modules and recorders of the proxies, and the backends' queues.

use super::{FleetScenario, START_MS};
use load_balancer::interface::*;
use load_balancer::replay::{AttemptOutcome, Ending, Recorder, Segment};
use load_balancer::{Balancer, backend_id};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// An event of the simulation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum SimulationEvent {
    /// A request arrives at a proxy.
    RequestArrives { proxy: usize },
    /// A timer of a proxy's decision module fires.
    TimerFires { proxy: usize, token: u64 },
    /// A backend completes a call.
    CallCompletes { call: usize },
}

/// An event and when it is due.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub struct ScheduledEvent {
    /// Bits of the time (ms), which order as the time does.
    at_ms_bits: u64,
    /// Number of the event: those of the same time happen in the order in which they were scheduled.
    sequence: u64,
    event: SimulationEvent,
}

/// A proxy of the fleet.
pub struct Proxy {
    pub balancer: Balancer,
    pub recorder: Recorder,
    /// Calls in flight by backend.
    pub in_flight: Vec<u32>,
}

/// A request that has arrived.
pub struct Request {
    proxy: usize,
    /// Number of attempts sent.
    attempts: u8,
    ended: bool,
}

/// An attempt that was sent to a backend.
pub struct Call {
    proxy: usize,
    request: u64,
    attempt: u8,
    backend: usize,
    sent_ms: f64,
    deadline_ms: f64,
}

/// The calls at a backend.
#[derive(Default)]
pub struct BackendQueue {
    /// Number of calls that occupy a slot.
    busy_slots: usize,
    /// Indices of the calls that wait for a slot.
    waiting: VecDeque<usize>,
}

/// The state of a simulation.
pub struct Fleet<'a> {
    pub scenario: &'a FleetScenario,
    pub rng: fastrand::Rng,
    pub proxies: Vec<Proxy>,
    pub event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    pub scheduled: u64,
    /// All requests; a request's id is its index here.
    pub requests: Vec<Request>,
    pub calls: Vec<Call>,
    pub backend_queues: Vec<BackendQueue>,
    /// Index of each backend.
    pub backend_indices: BTreeMap<BackendId, usize>,
    pub segments: Vec<Segment>,
    /// Calls sent to each backend in the last three quarters of the simulation.
    pub late_calls: Vec<u64>,
}

impl Fleet<'_> {
    /// Unix time (ms) by a proxy's clock.
    pub fn proxy_clock(&self, proxy: usize, now_ms: f64) -> f64 {
        START_MS + now_ms + self.scenario.clock_offsets_ms.get(&proxy).copied().unwrap_or(0.0)
    }

    /// Draws the time (ms) from one arrival at a proxy to the next.
    pub fn draw_interarrival_ms(&mut self) -> f64 {
        -(1.0 - self.rng.f64()).ln() * 1000.0 / self.scenario.requests_per_s
    }

    pub fn schedule(&mut self, at_ms: f64, event: SimulationEvent) {
        self.scheduled += 1;
        let at_ms_bits = at_ms.to_bits();
        self.event_queue.push(Reverse(ScheduledEvent { at_ms_bits, sequence: self.scheduled, event }));
    }

    /// Runs the simulation to its end and cuts the last segments.
    pub fn run(&mut self) {
        let end_ms = 1000.0 * self.scenario.duration_s;
        while let Some(Reverse(ScheduledEvent { at_ms_bits, event, .. })) = self.event_queue.pop() {
            let now_ms = f64::from_bits(at_ms_bits);
            if now_ms > end_ms {
                break;
            }
            match event {
                SimulationEvent::RequestArrives { proxy } => self.request_arrives(now_ms, proxy),
                SimulationEvent::TimerFires { proxy, token } => {
                    self.deliver(now_ms, proxy, Event::TimerFired { token });
                    let clock_ms = self.proxy_clock(proxy, now_ms);
                    self.segments.extend(self.proxies[proxy].recorder.cut_if_due(clock_ms));
                }
                SimulationEvent::CallCompletes { call } => self.call_completes(now_ms, call),
            }
        }
        for proxy in 0..self.scenario.proxies {
            let clock_ms = self.proxy_clock(proxy, end_ms);
            self.segments.extend(self.proxies[proxy].recorder.cut(clock_ms));
        }
    }

    fn request_arrives(&mut self, now_ms: f64, proxy: usize) {
        let interarrival_ms = self.draw_interarrival_ms();
        self.schedule(now_ms + interarrival_ms, SimulationEvent::RequestArrives { proxy });
        let request = self.requests.len() as u64;
        self.requests.push(Request { proxy, attempts: 0, ended: false });
        let class = u16::from(self.rng.f64() < 0.2);
        let arrival =
            Arrival { request, key: 0, class, tenant: 0, deadline_ms: now_ms + 5000.0, body_pending: false };
        let clock_ms = self.proxy_clock(proxy, now_ms);
        let recorder = &mut self.proxies[proxy].recorder;
        if let Some(hash) = recorder.sampled(&request.to_le_bytes()) {
            recorder.request_arrived(clock_ms, hash, &arrival, 5000.0);
        }
        self.deliver(now_ms, proxy, Event::Request(arrival));
    }

    /// Delivers an event to a proxy's decision module and carries out its actions.
    pub fn deliver(&mut self, now_ms: f64, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.proxies[proxy].balancer.handle(now_ms, event, &mut actions);
        let clock_ms = self.proxy_clock(proxy, now_ms);
        for action in actions {
            match action {
                Action::Send { request, backend, deadline_ms } => {
                    self.send(now_ms, proxy, request, self.backend_indices[&backend], deadline_ms);
                }
                Action::Reject { request, .. } => self.end_request(clock_ms, request, Ending::Refused),
                Action::Fail { request } => self.end_request(clock_ms, request, Ending::Failed),
                Action::SetTimer { delay_ms, token } => {
                    self.schedule(now_ms + delay_ms, SimulationEvent::TimerFires { proxy, token })
                }
                _ => {}
            }
        }
    }

    /// Sends a request's next attempt to a backend.
    fn send(&mut self, now_ms: f64, proxy: usize, request: u64, backend: usize, deadline_ms: f64) {
        let clock_ms = self.proxy_clock(proxy, now_ms);
        let attempt = self.requests[request as usize].attempts;
        self.requests[request as usize].attempts += 1;
        let Proxy { recorder, in_flight, .. } = &mut self.proxies[proxy];
        recorder.attempt_sent(clock_ms, request, backend_id(&backend_name(backend)), in_flight[backend]);
        in_flight[backend] += 1;
        self.late_calls[backend] += u64::from(now_ms > 250.0 * self.scenario.duration_s);
        self.calls.push(Call { proxy, request, attempt, backend, sent_ms: now_ms, deadline_ms });
        self.backend_queues[backend].waiting.push_back(self.calls.len() - 1);
        self.start_waiting_calls(now_ms, backend);
    }

    /// Starts waiting calls at a backend while it has free slots.
    fn start_waiting_calls(&mut self, now_ms: f64, backend: usize) {
        while self.backend_queues[backend].busy_slots < self.scenario.slots {
            let Some(call) = self.backend_queues[backend].waiting.pop_front() else { return };
            self.backend_queues[backend].busy_slots += 1;
            let service_ms = -(1.0 - self.rng.f64()).ln() * self.scenario.mean_service_ms;
            self.schedule(now_ms + service_ms, SimulationEvent::CallCompletes { call });
        }
    }

    /// Ends a request for its client. Only the first end counts.
    fn end_request(&mut self, clock_ms: f64, request: u64, ending: Ending) {
        let Request { proxy, ended, .. } = &mut self.requests[request as usize];
        if !std::mem::replace(ended, true) {
            self.proxies[*proxy].recorder.request_ended(clock_ms, request, ending);
        }
    }

    fn call_completes(&mut self, now_ms: f64, call: usize) {
        let Call { proxy, request, attempt, backend, sent_ms, deadline_ms } = self.calls[call];
        let clock_ms = self.proxy_clock(proxy, now_ms);
        self.backend_queues[backend].busy_slots -= 1;
        self.proxies[proxy].in_flight[backend] -= 1;
        // A call past its deadline times out only when its backend completes it, not at the deadline: a simplification
        // that is acceptable where hardly any call is that late.
        let timed_out = now_ms > deadline_ms;
        let (recorded_outcome, outcome) = if timed_out {
            (AttemptOutcome::Timeout, Outcome::Timeout)
        } else {
            (AttemptOutcome::Ok, Outcome::Ok)
        };
        if !timed_out {
            self.end_request(clock_ms, request, Ending::Served);
        }
        self.proxies[proxy].recorder.attempt_ended(clock_ms, request, attempt, recorded_outcome);
        let resolved = Resolved {
            request,
            attempt,
            backend: backend_id(&backend_name(backend)),
            outcome,
            latency_ms: now_ms - sent_ms,
            request_ended: self.requests[request as usize].ended,
            body_consumed: false,
        };
        self.deliver(now_ms, proxy, Event::Resolved(resolved));
        self.start_waiting_calls(now_ms, backend);
    }
}

/// Name of the backend with an index.
pub fn backend_name(backend: usize) -> String {
    format!("s{backend}")
}
