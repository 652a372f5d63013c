//! The four rules over random event sequences.

use crate::common::*;
use load_balancer::interface::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
];

fn all_idempotencies() -> Vec<Class> {
    let dedup = |scope, dedup_window_ms| Idempotency::Keyed { scope, dedup_window_ms };
    vec![
        class(400.0, 1.0, Idempotency::Idempotent),
        class(500.0, 5.0, Idempotency::NonIdempotent),
        class(600.0, 2.0, dedup(DedupScope::All, 700.0)),
        class(400.0, 2.0, dedup(DedupScope::Zone, 900.0)),
        class(500.0, 1.0, dedup(DedupScope::Cell, 300.0)),
        Class { in_order: true, ..class(500.0, 3.0, dedup(DedupScope::Zone, 800.0)) },
        Class { in_order: true, ..class(700.0, 3.0, Idempotency::Idempotent) },
    ]
}

/// Runs an instance through random events: requests of every class, every outcome, frequent list changes.
fn random_run(seed: u64, change: impl Fn(&mut Settings)) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings(1 + rng.u32(..4), all_idempotencies());
    s.tier = rng.u32(..3);
    s.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 5.0 }];
    s.goal.worst_class_weight = 0.3;
    change(&mut s);
    let with_location = |rng: &mut fastrand::Rng, mut e: Entry| {
        (e.zone, e.cell) = (rng.u16(..3), rng.u16(..4));
        e
    };
    let initial: Vec<Entry> =
        entries(rng.u32(1..20)).into_iter().map(|e| with_location(&mut rng, e)).collect();
    let mut p = Proxy::new(s, seed, initial);
    for _ in 0..1500 {
        match rng.u32(..100) {
            0..40 => {
                let (class, time_left_ms) = (rng.usize(..7), 1.0 + rng.f64().powi(2) * 1500.0);
                p.request_with_key(rng.u64(..12), class, rng.u16(..3), time_left_ms);
            }
            40..75 => {
                let in_flight = p.in_flight();
                if !in_flight.is_empty() {
                    let (id, n, _) = in_flight[rng.usize(..in_flight.len())].clone();
                    p.resolve(id, n, OUTCOMES[rng.usize(..OUTCOMES.len())]);
                }
            }
            75..78 => {
                let open: Vec<_> =
                    p.requests.iter().filter(|(_, a)| a.ended.is_none()).map(|(&id, _)| id).collect();
                if !open.is_empty() {
                    p.client_gone(open[rng.usize(..open.len())]);
                }
            }
            78..84 => {
                let backend = rng.u32(1..25);
                let mut e = with_location(&mut rng, entry(backend));
                if let Some(known) = p.listed.get(&e.backend) {
                    (e.zone, e.cell) = (known.zone, known.cell);
                }
                e.phase = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone][rng.usize(..4)];
                e.started_at_ms = if rng.bool() { 0.0 } else { p.now - 500.0 * rng.f64() };
                p.list(ListKind::Delta, vec![e]);
            }
            84..85 => {
                let keep: Vec<Entry> =
                    p.listed.values().filter(|e| e.phase == Phase::Ready).cloned().collect();
                let mut keep: Vec<Entry> = keep.into_iter().filter(|_| rng.u32(..5) > 0).collect();
                keep.sort_by_key(|e| e.backend);
                p.list(ListKind::Full, keep);
            }
            85..86 => p.list(ListKind::Failed, vec![]),
            86..88 => {
                // Events for unknown requests and timers must be ignored.
                p.notify(Event::ClientGone { request: 1 << 50 });
                p.notify(Event::TimerFired { token: 999 });
                let (request, outcome) = (1 << 50, Outcome::Ok);
                let unknown = Resolved {
                    request,
                    attempt: 3,
                    backend: 77,
                    outcome,
                    latency_ms: 1.0,
                    request_ended: true,
                    body_consumed: false,
                };
                p.notify(Event::Resolved(unknown));
            }
            _ => {
                let to = p.now + rng.f64() * 60.0;
                p.advance(to);
            }
        }
    }
    p.advance(p.now + 5000.0);
    let open = p.requests.values().filter(|a| a.ended.is_none()).count();
    assert_eq!(open, 0, "seed {seed}: requests that never ended");
    assert!(
        p.requests.values().any(|a| a.ended.is_some_and(|e| e.1 == RequestEnd::Served)),
        "seed {seed}: nothing served"
    );
}

#[test]
fn rules_hold_over_random_runs() {
    (0..60).for_each(|seed| random_run(seed, |_| {}));
}

#[test]
fn rules_hold_without_cancelling() {
    (100..140).for_each(|seed| random_run(seed, |s| (s.caps.cancelling, s.caps.max_attempts) = (false, 2)));
}

#[test]
fn rules_hold_when_the_list_must_be_subscribed_to() {
    (200..230).for_each(|seed| random_run(seed, |s| s.must_subscribe = true));
}

/// Guards against decisions that depend on hash order or the system clock.
#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut p = Proxy::new(settings(2, all_idempotencies()), 7, entries(12));
        p.serve(3000.0, 2, 0, 80.0);
        for _ in 0..200 {
            p.request(1, 0, 900.0);
        }
        p.advance(p.now + 2000.0);
        format!("{:?}", p.requests)
    };
    assert_eq!(run(), run());
}

/// A request whose deadline is before the next tick must be answered at once.
#[test]
fn a_request_with_a_short_deadline_is_answered_in_time() {
    let mut p = Proxy::new(settings(1, all_idempotencies()), 1, vec![]);
    for time_left_ms in [0.5, 5.0, 30.0, 60.0, 99.0, 101.0, 150.0] {
        p.request(1, 0, time_left_ms);
    }
    p.advance(p.now + 1000.0);
    assert!(p.requests.values().all(|a| a.ended.is_some_and(|e| e.1 == RequestEnd::Rejected)));
}
