//! How evenly a fleet of instances loads the backends of a tier, on a simulated clock: a balancer for each
//! instance, Poisson clients, exponential service times, unlimited concurrency at the backends.

use load_balancer::Balancer;
use load_balancer::interface::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rstest::rstest;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const BACKENDS: u32 = 60;
const MEAN_SERVICE_MS: f64 = 50.0;

/// An event of the simulation; the first field is the instance.
enum SimEvent {
    Arrival(usize),
    Timer(usize, u64),
    Resolved(usize, Resolved),
}

struct Fleet {
    instances: Vec<Balancer>,
    /// Requests a second of each instance.
    rates: Vec<f64>,
    /// Factor on the service time of a backend; a backend with a negative one fails every call at once.
    slowdown: BTreeMap<BackendId, f64>,
    /// The live instances, if membership reports them.
    live_instances: Option<Vec<usize>>,
}

/// What a simulation has counted.
struct Counts {
    /// Calls by backend.
    calls: Vec<u64>,
    /// Requests rejected or failed.
    unserved: u64,
    requests: u64,
}

impl Counts {
    /// The variance of the calls to a backend over the variance under independent random choice.
    fn variance(&self) -> f64 {
        let (n, mean) = (self.calls.len() as f64, self.mean_calls());
        let sum: f64 = self.calls.iter().map(|c| (*c as f64 - mean).powi(2)).sum();
        sum / (n - 1.0) / mean
    }
    fn mean_calls(&self) -> f64 {
        self.calls.iter().sum::<u64>() as f64 / self.calls.len() as f64
    }
    /// The calls to a backend over the mean of all backends.
    fn relative_load(&self, id: usize) -> f64 {
        self.calls[id] as f64 / self.mean_calls()
    }
    fn max_relative_load(&self) -> f64 {
        (0..self.calls.len()).map(|id| self.relative_load(id)).fold(0.0, f64::max)
    }
    fn min_relative_load(&self) -> f64 {
        (0..self.calls.len()).map(|id| self.relative_load(id)).fold(f64::MAX, f64::min)
    }
}

impl Fleet {
    fn new(instances: u32, rate: f64) -> Self {
        let class = Class {
            latency_objective_ms: 300.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            in_order: false,
        };
        let caps = Caps { max_attempts: 3, ..Caps::default() };
        let settings = Settings {
            instance_count: instances,
            tick_ms: 5.0,
            classes: vec![class],
            caps,
            ..Settings::default()
        };
        let instance = |instance| {
            Balancer::new(Settings { instance_index: instance, ..settings.clone() }, u64::from(instance))
                .expect("the settings are valid")
        };
        let rates = vec![rate; instances as usize];
        Fleet {
            instances: (0..instances).map(instance).collect(),
            rates,
            slowdown: BTreeMap::new(),
            live_instances: None,
        }
    }

    /// Runs the simulation for `seconds`; counts calls from second `count_from` on.
    fn simulate(&mut self, seconds: f64, count_from: f64, seed: u64) -> Counts {
        let mut rng = StdRng::seed_from_u64(seed);
        let service_time = Exp::new(1.0 / MEAN_SERVICE_MS).expect("the rate is positive");
        let (mut queue, mut events, mut next_event) = (BinaryHeap::new(), BTreeMap::new(), 0u64);
        let mut counts = Counts { calls: vec![0; BACKENDS as usize], unserved: 0, requests: 0 };
        let entries: Vec<Entry> =
            (0..BACKENDS).map(|backend| Entry { backend, weight: 1.0, ..Entry::default() }).collect();
        let mut schedule =
            |queue: &mut BinaryHeap<_>, events: &mut BTreeMap<u64, SimEvent>, at: f64, event| {
                next_event += 1;
                queue.push(Reverse(((at * 1000.0) as u64, next_event)));
                events.insert(next_event, event);
            };
        let mut pending: Vec<(usize, Event)> = Vec::new();
        let live: Vec<usize> = self.live_instances.clone().unwrap_or((0..self.instances.len()).collect());
        for (rank, &c) in live.iter().enumerate() {
            if self.live_instances.is_some() {
                let (alive, known) = (live.len() as u32, live.len() as u32);
                pending.push((c, Event::Peers { alive, known, rank: Some(rank as u32) }));
            }
            pending.push((c, Event::List { kind: ListKind::Full, entries: entries.clone() }));
            schedule(
                &mut queue,
                &mut events,
                rng.random::<f64>() * 1000.0 / self.rates[c],
                SimEvent::Arrival(c),
            );
        }
        let (mut now, mut last_request) = (0.0, 0);
        let mut attempts: BTreeMap<RequestId, AttemptNo> = BTreeMap::new();
        loop {
            let mut actions = Vec::new();
            for (c, event) in pending.drain(..) {
                self.instances[c].handle(now, event, &mut actions);
                for action in actions.drain(..) {
                    match action {
                        Action::SetTimer { delay_ms, token } => {
                            schedule(&mut queue, &mut events, now + delay_ms, SimEvent::Timer(c, token));
                        }
                        Action::Send { request, backend, .. } => {
                            counts.calls[backend as usize] += u64::from(now >= count_from * 1000.0);
                            let slowdown = self.slowdown.get(&backend).copied().unwrap_or(1.0);
                            let (outcome, wait) = match slowdown < 0.0 {
                                true => (Outcome::Error, 1.0),
                                false => (Outcome::Ok, service_time.sample(&mut rng) * slowdown),
                            };
                            let attempt = *attempts.entry(request).and_modify(|n| *n += 1).or_insert(0);
                            let end = Resolved {
                                request,
                                attempt,
                                backend,
                                outcome,
                                latency_ms: wait,
                                request_ended: outcome == Outcome::Ok,
                                body_consumed: false,
                            };
                            schedule(&mut queue, &mut events, now + wait, SimEvent::Resolved(c, end));
                        }
                        Action::Reject { .. } | Action::Fail { .. } => counts.unserved += 1,
                        _ => {}
                    }
                }
            }
            let Some(Reverse((at, event_id))) = queue.pop() else { return counts };
            now = at as f64 / 1000.0;
            if now > seconds * 1000.0 {
                return counts;
            }
            match events.remove(&event_id) {
                Some(SimEvent::Arrival(c)) => {
                    (last_request, counts.requests) = (last_request + 1, counts.requests + 1);
                    let deadline = now + 2000.0;
                    pending.push((
                        c,
                        Event::Request(Arrival {
                            request: last_request,
                            key: 0,
                            class: 0,
                            tenant: 0,
                            deadline_ms: deadline,
                            body_pending: false,
                        }),
                    ));
                    let gap =
                        Exp::new(self.rates[c] / 1000.0).expect("the rate is positive").sample(&mut rng);
                    schedule(&mut queue, &mut events, now + gap, SimEvent::Arrival(c));
                }
                Some(SimEvent::Timer(c, token)) => pending.push((c, Event::TimerFired { token })),
                Some(SimEvent::Resolved(c, end)) => pending.push((c, Event::Resolved(end))),
                None => {}
            }
        }
    }
}

/// At low traffic over healthy backends the load is more even than by independent random choice, and no
/// request is rejected. By random choice the variance is 1; over 59 degrees of freedom it is below 0.5 once
/// in 10,000 runs.
#[rstest]
#[case::low_rate(120, 2.0, 0.0, 0.5)]
#[case::lowest_rate(240, 0.5, 0.0, 0.5)]
#[case::one_in_ten_gets_five_times_the_mean(120, 2.0, 10.0, 0.8)]
#[case::higher_rate(120, 8.0, 0.0, 1.0)]
fn low_traffic_is_spread_more_evenly_than_by_chance(
    #[case] instances: u32,
    #[case] rate: f64,
    #[case] every_tenth_rate: f64,
    #[case] max_variance: f64,
) {
    let mut fleet = Fleet::new(instances, rate);
    fleet.rates.iter_mut().step_by(10).filter(|_| every_tenth_rate > 0.0).for_each(|r| *r = every_tenth_rate);
    let counts = fleet.simulate(30.0, 0.0, 1);
    let unserved_share = counts.unserved as f64 / counts.requests as f64;
    println!(
        "{:.2} {:.2} {:.2} {unserved_share:.4}",
        counts.variance(),
        counts.min_relative_load(),
        counts.max_relative_load()
    );
    assert!(counts.variance() <= max_variance, "variance {:.2}", counts.variance());
    assert!(
        counts.min_relative_load() > 0.5 && counts.max_relative_load() < 1.5,
        "{:.2} to {:.2}",
        counts.min_relative_load(),
        counts.max_relative_load()
    );
    assert!(unserved_share <= 0.001, "{unserved_share:.4} of the requests rejected or failed");
}

#[test]
fn slow_and_failing_backends_get_fewer_calls() {
    let mut fleet = Fleet::new(120, 2.0);
    fleet.slowdown.extend([7, 27, 47].map(|id| (id, 6.0)));
    fleet.slowdown.extend([3, 23, 43].map(|id| (id, -1.0)));
    let counts = fleet.simulate(30.0, 20.0, 1);
    let mean_load = |ids: [usize; 3]| ids.map(|id| counts.relative_load(id)).iter().sum::<f64>() / 3.0;
    println!("slow {:.2}, failing {:.2}", mean_load([7, 27, 47]), mean_load([3, 23, 43]));
    assert!(mean_load([7, 27, 47]) < 0.8 && mean_load([3, 23, 43]) < 0.2);
}

#[test]
fn no_backend_is_uncovered_once_the_remaining_instances_know_their_rank() {
    let mut fleet = Fleet::new(120, 2.0);
    fleet.live_instances = Some((0..120).filter(|instance| instance / 12 % 3 != 0).collect());
    let counts = fleet.simulate(30.0, 0.0, 1);
    assert!(
        counts.min_relative_load() > 0.5 && counts.max_relative_load() < 1.5,
        "{:.2} to {:.2}",
        counts.min_relative_load(),
        counts.max_relative_load()
    );
}

#[test]
fn calls_follow_the_route_tables_weights() {
    let mut fleet = Fleet::new(20, 40.0);
    let weights: Vec<(BackendId, f64)> = (0..BACKENDS).map(|id| (id, f64::from(id % 3))).collect();
    fleet.instances.iter_mut().for_each(|c| {
        c.handle(0.0, Event::RouteWeights { weights: weights.clone() }, &mut Vec::new());
    });
    let counts = fleet.simulate(20.0, 0.0, 1);
    let calls_of_weight = |w: usize| (w..60).step_by(3).map(|id| counts.calls[id]).sum::<u64>() as f64;
    assert_eq!(calls_of_weight(0), 0.0, "a backend of weight 0 gets no calls while others have a weight");
    let ratio = calls_of_weight(2) / calls_of_weight(1);
    assert!((1.7..2.3).contains(&ratio), "twice the weight got {ratio:.2} times the calls");
}
