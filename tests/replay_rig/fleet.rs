//! The fleet itself: copies of the module, their recorders, and the backends' queues.

use super::{START, World};
use load_balancer::interface::*;
use load_balancer::replay::{AttemptOutcome, Ending, Recorder, Segment};
use load_balancer::{Balancer, backend_id};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    Arrival(usize),
    Wake(usize, u64),
    Done(usize),
}

pub struct Call {
    proxy: usize,
    request: u64,
    attempt: u8,
    backend: usize,
    at: f64,
    not_past: f64,
}

pub struct Fleet<'a> {
    pub w: &'a World,
    pub rng: fastrand::Rng,
    pub copies: Vec<(Balancer, Recorder)>,
    pub due: BinaryHeap<Reverse<(u64, u64, What)>>,
    pub made: u64,
    pub requests: Vec<(usize, u8, bool)>, // proxy, attempts, over
    pub calls: Vec<Call>,
    pub queues: Vec<(usize, VecDeque<usize>)>, // at work, waiting
    pub places: BTreeMap<BackendId, usize>,
    pub flight: Vec<Vec<u32>>,
    pub segments: Vec<Segment>,
    pub sent: Vec<u64>,
}

impl Fleet<'_> {
    pub fn clock(&self, copy: usize, now: f64) -> f64 {
        START + now + self.w.off.get(&copy).copied().unwrap_or(0.0)
    }

    pub fn gap(&mut self) -> f64 {
        -(1.0 - self.rng.f64()).ln() * 1000.0 / self.w.rate
    }

    pub fn plan(&mut self, at: f64, what: What) {
        self.made += 1;
        self.due.push(Reverse((at.to_bits(), self.made, what)));
    }

    pub fn play(&mut self) {
        let end = 1000.0 * self.w.seconds;
        while let Some(Reverse((at, _, what))) = self.due.pop() {
            let now = f64::from_bits(at);
            if now > end {
                break;
            }
            match what {
                What::Arrival(copy) => self.arrive(now, copy),
                What::Wake(copy, token) => {
                    self.tell(now, copy, Event::TimerFired { token });
                    let clock = self.clock(copy, now);
                    self.segments.extend(self.copies[copy].1.cut_if_due(clock));
                }
                What::Done(call) => self.done(now, call),
            }
        }
        for copy in 0..self.w.proxies {
            let clock = self.clock(copy, end);
            self.segments.extend(self.copies[copy].1.cut(clock));
        }
    }

    fn arrive(&mut self, now: f64, copy: usize) {
        let gap = self.gap();
        self.plan(now + gap, What::Arrival(copy));
        let request = self.requests.len() as u64;
        self.requests.push((copy, 0, false));
        let class = u16::from(self.rng.f64() < 0.2);
        let arrival =
            Arrival { request, key: 0, class, tenant: 0, deadline_ms: now + 5000.0, body_pending: false };
        let clock = self.clock(copy, now);
        let recorder = &mut self.copies[copy].1;
        if let Some(hash) = recorder.sampled(&request.to_le_bytes()) {
            recorder.request_arrived(clock, hash, &arrival, 5000.0);
        }
        self.tell(now, copy, Event::Request(arrival));
    }

    pub fn tell(&mut self, now: f64, copy: usize, event: Event) {
        let mut actions = Vec::new();
        self.copies[copy].0.handle(now, event, &mut actions);
        let clock = self.clock(copy, now);
        for action in actions {
            match action {
                Action::Send { request, backend, deadline_ms: not_past } => {
                    let (b, attempt) = (self.places[&backend], self.requests[request as usize].1);
                    self.requests[request as usize].1 += 1;
                    self.copies[copy].1.attempt_sent(clock, request, backend, self.flight[copy][b]);
                    self.flight[copy][b] += 1;
                    self.sent[b] += u64::from(now > 250.0 * self.w.seconds);
                    self.calls.push(Call { proxy: copy, request, attempt, backend: b, at: now, not_past });
                    self.queues[b].1.push_back(self.calls.len() - 1);
                    self.begin(now, b);
                }
                Action::Reject { request, .. } => self.end(clock, request, Ending::Refused),
                Action::Fail { request } => self.end(clock, request, Ending::Failed),
                Action::SetTimer { delay_ms: delay, token } => {
                    self.plan(now + delay, What::Wake(copy, token))
                }
                _ => {}
            }
        }
    }

    fn begin(&mut self, now: f64, b: usize) {
        while self.queues[b].0 < self.w.slots {
            let Some(call) = self.queues[b].1.pop_front() else { return };
            self.queues[b].0 += 1;
            let work = -(1.0 - self.rng.f64()).ln() * self.w.work_ms;
            self.plan(now + work, What::Done(call));
        }
    }

    fn end(&mut self, clock: f64, request: u64, ending: Ending) {
        let (copy, _, over) = &mut self.requests[request as usize];
        if !std::mem::replace(over, true) {
            self.copies[*copy].1.request_ended(clock, request, ending);
        }
    }

    fn done(&mut self, now: f64, call: usize) {
        let Call { proxy, request, attempt, backend, at, not_past } = self.calls[call];
        let clock = self.clock(proxy, now);
        self.queues[backend].0 -= 1;
        self.flight[proxy][backend] -= 1;
        // Late ones are told late: good enough where hardly any is.
        let late = now > not_past;
        let (reply, outcome) = if late {
            (AttemptOutcome::Timeout, Outcome::Timeout)
        } else {
            (AttemptOutcome::Ok, Outcome::Ok)
        };
        if !late {
            self.end(clock, request, Ending::Served);
        }
        self.copies[proxy].1.attempt_ended(clock, request, attempt, reply);
        let closed = self.requests[request as usize].2;
        let backend_number = backend_id(&format!("s{backend}"));
        let resolved = Resolved {
            request,
            attempt,
            backend: backend_number,
            outcome,
            latency_ms: now - at,
            request_ended: closed,
            body_consumed: false,
        };
        self.tell(now, proxy, Event::Resolved(resolved));
        self.begin(now, backend);
    }
}
