//! How evenly a fleet of copies loads the backends of a tier, on a simulated clock: each copy a module of its own, Poisson
//! clients, exponential work, any number of calls at once.

use load_balancer::Balancer;
use load_balancer::interface::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const BACKENDS: u32 = 60;
const WORK_MS: f64 = 50.0;

/// What happens in the fleet, in the order of time.
enum What {
    Arrives(usize),
    Wakes(usize, u64),
    Ends(usize, Resolved),
}

struct Fleet {
    copies: Vec<Balancer>,
    rates: Vec<f64>, // requests a second of each copy
    /// How many times slower a backend is; below 0 it fails every call at once.
    ill: BTreeMap<BackendId, f64>,
    members: Option<Vec<usize>>, // live copies, where membership tells them
}

struct Seen {
    calls: Vec<u64>,
    refused: u64,
    requests: u64,
}

impl Seen {
    /// Variance of the calls a backend over what independent random choice would give.
    fn variance(&self) -> f64 {
        let (n, mean) = (self.calls.len() as f64, self.mean());
        let sum: f64 = self.calls.iter().map(|c| (*c as f64 - mean).powi(2)).sum();
        sum / (n - 1.0) / mean
    }
    fn mean(&self) -> f64 {
        self.calls.iter().sum::<u64>() as f64 / self.calls.len() as f64
    }
    fn part(&self, id: usize) -> f64 {
        self.calls[id] as f64 / self.mean()
    }
    fn most(&self) -> f64 {
        (0..self.calls.len()).map(|id| self.part(id)).fold(0.0, f64::max)
    }
    fn least(&self) -> f64 {
        (0..self.calls.len()).map(|id| self.part(id)).fold(f64::MAX, f64::min)
    }
}

impl Fleet {
    fn new(copies: u32, rate: f64) -> Self {
        let class = Class {
            latency_objective_ms: 300.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            in_order: false,
        };
        let caps = Caps { max_attempts: 3, ..Caps::default() };
        let settings = Settings {
            instance_count: copies,
            tick_ms: 5.0,
            classes: vec![class],
            caps,
            ..Settings::default()
        };
        let copy = |copy| {
            Balancer::new(Settings { instance_index: copy, ..settings.clone() }, u64::from(copy))
                .expect("settings")
        };
        let rates = vec![rate; copies as usize];
        Fleet { copies: (0..copies).map(copy).collect(), rates, ill: BTreeMap::new(), members: None }
    }

    /// Plays so many seconds; counts calls from `from` on.
    fn play(&mut self, seconds: f64, from: f64, seed: u64) -> Seen {
        let mut rng = StdRng::seed_from_u64(seed);
        let work = Exp::new(1.0 / WORK_MS).expect("a mean");
        let (mut queue, mut place, mut next) = (BinaryHeap::new(), BTreeMap::new(), 0u64);
        let mut seen = Seen { calls: vec![0; BACKENDS as usize], refused: 0, requests: 0 };
        let entries: Vec<Entry> =
            (0..BACKENDS).map(|backend| Entry { backend, weight: 1.0, ..Entry::default() }).collect();
        let mut put = |queue: &mut BinaryHeap<_>, place: &mut BTreeMap<u64, What>, at: f64, what| {
            next += 1;
            queue.push(Reverse(((at * 1000.0) as u64, next)));
            place.insert(next, what);
        };
        let mut todo: Vec<(usize, Event)> = Vec::new();
        let live: Vec<usize> = self.members.clone().unwrap_or((0..self.copies.len()).collect());
        for (rank, &c) in live.iter().enumerate() {
            if self.members.is_some() {
                let (alive, known) = (live.len() as u32, live.len() as u32);
                todo.push((c, Event::Peers { alive, known, rank: Some(rank as u32) }));
            }
            todo.push((c, Event::List { kind: ListKind::Full, entries: entries.clone() }));
            put(&mut queue, &mut place, rng.random::<f64>() * 1000.0 / self.rates[c], What::Arrives(c));
        }
        let (mut now, mut id) = (0.0, 0);
        let mut tries: BTreeMap<RequestId, AttemptNo> = BTreeMap::new();
        loop {
            let mut out = Vec::new();
            for (c, event) in todo.drain(..) {
                self.copies[c].handle(now, event, &mut out);
                for action in out.drain(..) {
                    match action {
                        Action::SetTimer { delay_ms: delay, token } => {
                            put(&mut queue, &mut place, now + delay, What::Wakes(c, token));
                        }
                        Action::Send { request, backend, .. } => {
                            seen.calls[backend as usize] += u64::from(now >= from * 1000.0);
                            let ill = self.ill.get(&backend).copied().unwrap_or(1.0);
                            let (outcome, wait) = match ill < 0.0 {
                                true => (Outcome::Error, 1.0),
                                false => (Outcome::Ok, work.sample(&mut rng) * ill),
                            };
                            let closed = outcome == Outcome::Ok;
                            let attempt = *tries.entry(request).and_modify(|n| *n += 1).or_insert(0);
                            let end = Resolved {
                                request,
                                attempt,
                                backend,
                                outcome,
                                latency_ms: wait,
                                request_ended: closed,
                                body_consumed: false,
                            };
                            put(&mut queue, &mut place, now + wait, What::Ends(c, end));
                        }
                        Action::Reject { .. } | Action::Fail { .. } => seen.refused += 1,
                        _ => {}
                    }
                }
            }
            let Some(Reverse((at, key))) = queue.pop() else { return seen };
            now = at as f64 / 1000.0;
            if now > seconds * 1000.0 {
                return seen;
            }
            match place.remove(&key) {
                Some(What::Arrives(c)) => {
                    (id, seen.requests) = (id + 1, seen.requests + 1);
                    let deadline = now + 2000.0;
                    let (key, class, tenant, coming) = (0, 0, 0, false);
                    todo.push((
                        c,
                        Event::Request(Arrival {
                            request: id,
                            key,
                            class,
                            tenant,
                            deadline_ms: deadline,
                            body_pending: coming,
                        }),
                    ));
                    let gap = Exp::new(self.rates[c] / 1000.0).expect("a rate").sample(&mut rng);
                    put(&mut queue, &mut place, now + gap, What::Arrives(c));
                }
                Some(What::Wakes(c, token)) => todo.push((c, Event::TimerFired { token })),
                Some(What::Ends(c, end)) => todo.push((c, Event::Resolved(end))),
                None => {}
            }
        }
    }
}

/// Thin traffic and none of the backends ill: they are loaded more evenly than dice would, and nobody is refused. By
/// independent random choice the variance is 1; over 59 degrees of freedom it lies under 0.5 once in 10,000 times.
#[rstest]
#[case::thin(120, 2.0, 0.0, 0.5)]
#[case::thinnest(240, 0.5, 0.0, 0.5)]
#[case::one_in_ten_gets_five_times_the_mean(120, 2.0, 10.0, 0.8)]
#[case::busier(120, 8.0, 0.0, 1.0)]
fn thin_traffic_is_spread_more_evenly_than_by_chance(
    #[case] copies: u32,
    #[case] rate: f64,
    #[case] tenth: f64,
    #[case] most: f64,
) {
    let mut fleet = Fleet::new(copies, rate);
    fleet.rates.iter_mut().step_by(10).filter(|_| tenth > 0.0).for_each(|r| *r = tenth);
    let seen = fleet.play(30.0, 0.0, 1);
    let refused = seen.refused as f64 / seen.requests as f64;
    println!("{:.2} {:.2} {:.2} {refused:.4}", seen.variance(), seen.least(), seen.most());
    assert!(seen.variance() <= most, "variance {:.2}", seen.variance());
    assert!(seen.least() > 0.5 && seen.most() < 1.5, "{:.2} to {:.2}", seen.least(), seen.most());
    assert!(refused <= 0.001, "{refused:.4} refused");
}

#[test]
fn slow_and_failing_backends_are_left() {
    let mut fleet = Fleet::new(120, 2.0);
    fleet.ill.extend([7, 27, 47].map(|id| (id, 6.0)));
    fleet.ill.extend([3, 23, 43].map(|id| (id, -1.0)));
    let seen = fleet.play(30.0, 20.0, 1);
    let part = |ids: [usize; 3]| ids.map(|id| seen.part(id)).iter().sum::<f64>() / 3.0;
    println!("slow {:.2}, failing {:.2}", part([7, 27, 47]), part([3, 23, 43]));
    assert!(part([7, 27, 47]) < 0.8 && part([3, 23, 43]) < 0.2);
}

#[test]
fn copies_that_have_left_leave_no_holes_once_the_others_know_theirrank() {
    let mut fleet = Fleet::new(120, 2.0);
    fleet.members = Some((0..120).filter(|copy| copy / 12 % 3 != 0).collect());
    let seen = fleet.play(30.0, 0.0, 1);
    assert!(seen.least() > 0.5 && seen.most() < 1.5, "{:.2} to {:.2}", seen.least(), seen.most());
}

#[test]
fn calls_follow_the_route_tables_weights() {
    let mut fleet = Fleet::new(20, 40.0);
    let weights: Vec<(BackendId, f64)> = (0..BACKENDS).map(|id| (id, f64::from(id % 3))).collect();
    fleet.copies.iter_mut().for_each(|c| {
        c.handle(0.0, Event::RouteWeights { weights: weights.clone() }, &mut Vec::new());
    });
    let seen = fleet.play(20.0, 0.0, 1);
    let of = |w: usize| (w..60).step_by(3).map(|id| seen.calls[id]).sum::<u64>() as f64;
    assert_eq!(of(0), 0.0, "a weight of 0 closes a backend while others are left");
    let ratio = of(2) / of(1);
    assert!((1.7..2.3).contains(&ratio), "twice the weight gets {ratio:.2} times the calls");
}
