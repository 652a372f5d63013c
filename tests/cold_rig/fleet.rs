//! What happens in the fleet, in the order of time.

use super::{Day, START, Seen, Sent};
use load_balancer::Balancer;
use load_balancer::interface::*;
use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const BEGIN: f64 = START - 4000.0;
/// Nobody is told later than this.
const TOLD_BY: f64 = 6000.0;
const DEADLINE: f64 = 2000.0;

/// What processes are told of the list.
#[derive(Clone, Copy, PartialEq)]
enum News {
    Lost,
    Back,
    Leave,
}

enum What {
    Starts(usize),
    Told(usize, News),
    Arrives(usize),
    Wakes(usize, u64),
    Ends(usize, Resolved),
}

pub(super) struct Fleet<'a> {
    day: &'a Day,
    rng: StdRng,
    copies: Vec<Option<Balancer>>,
    rates: Vec<f64>,
    told: Vec<f64>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    plans: BTreeMap<usize, What>,
    planned: usize,
    work: BTreeMap<RequestId, (f64, AttemptNo)>,
    slots: Vec<Vec<f64>>,
    service: f64,
    next: RequestId,
    pub(super) seen: Seen,
}

impl<'a> Fleet<'a> {
    pub(super) fn new(day: &'a Day, rng: StdRng, rates: Vec<f64>, seen: Seen) -> Self {
        let slots = (seen.capacity * 100.0).round().max(1.0);
        Fleet {
            day,
            rates,
            copies: (0..day.copies).map(|_| None).collect(),
            told: Vec::new(),
            due: BinaryHeap::new(),
            plans: BTreeMap::new(),
            planned: 0,
            work: BTreeMap::new(),
            slots: vec![vec![0.0; slots as usize]; day.backends + 1],
            service: slots / seen.capacity,
            next: 1,
            seen,
            rng,
        }
    }

    fn plan(&mut self, at: f64, what: What) {
        self.plans.insert(self.planned, what);
        self.due.push(Reverse(((at * 1000.0) as u64, self.planned)));
        self.planned += 1;
    }

    pub(super) fn run(&mut self) {
        for copy in 0..self.day.copies {
            let fresh = self.rng.random::<f64>() < self.day.fresh;
            let unaware = self.rng.random::<f64>() < self.day.unaware;
            let starts = if fresh { START } else { BEGIN } + 1000.0 * self.rng.random::<f64>();
            let told = START + if unaware { TOLD_BY } else { 200.0 * self.rng.random::<f64>() };
            self.told.push(told);
            self.plan(starts, What::Starts(copy));
            if !unaware && self.day.lost > 0.0 {
                self.plan(START - self.day.lost + 10.0, What::Told(copy, News::Lost));
            }
            self.plan(told + 0.01, What::Told(copy, News::Back));
            if self.day.leave > 0.0 {
                let told = START + self.day.leave + 200.0 * self.rng.random::<f64>();
                self.plan(told, What::Told(copy, News::Leave));
            }
        }
        while let Some(Reverse((micros, plan))) = self.due.pop() {
            let now = micros as f64 / 1000.0;
            if now > START + self.day.watch {
                break;
            }
            match self.plans.remove(&plan).expect("planned") {
                What::Starts(copy) => self.start(now, copy),
                What::Told(copy, news) if self.copies[copy].is_some() => self.list(now, copy, news),
                What::Told(..) => {}
                What::Arrives(copy) => self.arrive(now, copy),
                What::Wakes(copy, token) => self.tell(now, copy, Event::TimerFired { token }),
                What::Ends(copy, resolved) => {
                    self.tell(now, copy, Event::Resolved(resolved));
                }
            }
        }
    }

    fn entries(&self, from: usize, now: f64, told: f64) -> Vec<Entry> {
        let cold = |b: usize| b <= self.day.cold && now >= told;
        let entry = |b: usize| Entry {
            backend: b as BackendId * 7919 % 100_003,
            weight: 1.0,
            started_at_ms: if cold(b) { START } else { 0.0 },
            zone: (b % 3) as u16,
            ..Entry::default()
        };
        (from..=self.day.backends).map(entry).collect()
    }

    fn start(&mut self, now: f64, copy: usize) {
        let class = |aim, points| Class {
            latency_objective_ms: aim,
            priority_weight: points,
            idempotency: Idempotency::Idempotent,
            in_order: false,
        };
        let settings = Settings {
            instance_index: copy as u32,
            instance_count: self.day.copies as u32,
            tick_ms: 5.0,
            zone: (copy % 3) as u16,
            over_quota_weight: 0.05,
            classes: vec![class(1000.0, 1.0), class(2000.0, 3.0)],
            caps: Caps { cancelling: true, retry_after: true, max_retry_after_ms: 1000.0, max_attempts: 4 },
            rules: self.day.rules.clone(),
            ..Settings::default()
        };
        self.copies[copy] = Some(Balancer::new(settings, self.day.seed ^ copy as u64).expect("sound"));
        let entries = self.entries(1, now, self.told[copy]);
        self.tell(now, copy, Event::List { kind: ListKind::Full, entries });
        self.next_arrival(now, copy);
    }

    fn list(&mut self, now: f64, copy: usize, news: News) {
        let mut entries = self.entries(1, now, self.told[copy]);
        match news {
            News::Leave => drop(entries.drain(..self.day.cold)),
            _ => entries.truncate(self.day.cold),
        }
        entries
            .iter_mut()
            .for_each(|e| e.phase = if news == News::Back { Phase::Ready } else { Phase::Gone });
        self.tell(now, copy, Event::List { kind: ListKind::Delta, entries });
    }

    fn next_arrival(&mut self, now: f64, copy: usize) {
        let times = if now >= START { self.day.burst } else { 1.0 };
        let gap: f64 = Exp::new(self.rates[copy] * times).expect("positive").sample(&mut self.rng);
        self.plan(now + gap, What::Arrives(copy));
    }

    fn arrive(&mut self, now: f64, copy: usize) {
        self.next_arrival(now, copy);
        let request = self.next;
        self.next += 1;
        let class = u16::from(self.rng.random::<f64>() < 0.25);
        self.work.insert(request, ([0.8, 1.6][usize::from(class)], 0)); // a request has 1 in the mean
        let deadline = now + DEADLINE;
        let arrival =
            Arrival { request, key: 0, class, tenant: 0, deadline_ms: deadline, body_pending: false };
        self.tell(now, copy, Event::Request(arrival));
    }

    fn tell(&mut self, now: f64, copy: usize, event: Event) {
        let mut actions = Vec::new();
        self.copies[copy].as_mut().expect("it runs").handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { delay_ms: delay, token } => {
                    self.plan(now + delay, What::Wakes(copy, token))
                }
                Action::Send { request, backend, deadline_ms: not_past } => {
                    self.send(now, copy, (request, backend, not_past));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, now: f64, copy: usize, (request, backend, not_past): (RequestId, BackendId, f64)) {
        let b =
            (1..=self.day.backends).find(|&b| b as BackendId * 7919 % 100_003 == backend).expect("listed");
        let (work, attempt) = self.work[&request];
        self.work.insert(request, (work, attempt + 1));
        let cold = b <= self.day.cold && now >= START;
        if cold {
            self.seen.sent[b - 1].push(Sent { at: now - START, work, told: now >= self.told[copy] });
        }
        let away = b <= self.day.cold && (START - self.day.lost..START).contains(&now);
        let warmth = if cold { self.day.present(now - START) } else { 1.0 };
        let (outcome, end) = if away {
            (Outcome::ConnectFailed, now + 2.0)
        } else if self.day.bad && b == self.day.backends {
            (Outcome::Error, now + 5.0)
        } else {
            let took: f64 =
                Exp::new(1.0 / (self.service * work / warmth)).expect("positive").sample(&mut self.rng);
            let slot = self.slots[b].iter_mut().min_by(|a, b| a.total_cmp(b)).expect("one");
            if *slot > now + 1000.0 {
                (Outcome::Rejected, now + 2.0)
            } else {
                *slot = slot.max(now) + took;
                if *slot > not_past { (Outcome::Timeout, not_past) } else { (Outcome::Ok, *slot) }
            }
        };
        let closed = outcome == Outcome::Ok;
        let wait = end - now;
        let resolved = Resolved {
            request,
            attempt,
            backend,
            outcome,
            latency_ms: wait,
            request_ended: closed,
            body_consumed: false,
        };
        self.plan(end, What::Ends(copy, resolved));
    }
}
