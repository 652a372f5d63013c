//! The four rules under extreme settings: one class, no zones, no tenants, deadlines and deduplication
//! windows shorter than the balancer's tick, the smallest limits.

mod common;

use common::*;
use load_balancer::interface::*;

const TIMES_MS: [f64; 6] = [0.5, 5.0, 20.0, 120.0, 300.0, 2000.0];
const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Timeout,
];

fn one_of<T: Copy>(rng: &mut fastrand::Rng, choices: &[T]) -> T {
    choices[rng.usize(..choices.len())]
}

fn random_settings(rng: &mut fastrand::Rng) -> Settings {
    let dedup_window_ms = if rng.bool() { 0.0 } else { one_of(rng, &TIMES_MS) };
    let scope = one_of(rng, &[DedupScope::All, DedupScope::Zone, DedupScope::Cell]);
    let idempotency = one_of(
        rng,
        &[Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Keyed { scope, dedup_window_ms }],
    );
    let priority_weight = one_of(rng, &[0.0, 1.0, 1e6]);
    let class = Class { in_order: rng.bool(), ..class(one_of(rng, &TIMES_MS), priority_weight, idempotency) };
    let mut s = settings(1 + rng.u32(..30), vec![class]);
    s.tick_ms = one_of(rng, &[1.0, 5.0, 200.0]);
    s.caps.max_attempts = 1 + rng.u32(..3);
    s.caps.cancelling = rng.bool();
    s.caps.retry_after = rng.bool();
    s.caps.max_retry_after_ms = one_of(rng, &TIMES_MS);
    s.rules.initial_capacity = one_of(rng, &[0.0, 0.1, 1.0]);
    s.rules.warm_up_ms = one_of(rng, &[0.0, 500.0, 20_000.0]);
    s.rules.overload_multiple = one_of(rng, &[0.0, 1.5, 100.0]);
    s.rules.key_settle_ms = one_of(rng, &[0.0, 300.0]);
    s.rules.idle_close_within_ms = one_of(rng, &[0.0, 1.0]);
    s.must_subscribe = rng.bool();
    s.tier = rng.u32(..2);
    s.goal.worst_class_weight = rng.f64();
    s
}

/// Advances the clock in steps shorter than `DEADLINE_GRACE_MS`, whatever the tick of the settings is.
fn advance_by(p: &mut Proxy, ms: f64) {
    let end = p.now + ms;
    while p.now < end {
        p.advance((p.now + 5.0).min(end));
    }
}

/// Checks that no request is rejected that may have run and is past its deduplication window: a rejection
/// tells the client that a retry is harmless.
fn check_rejections(p: &Proxy) {
    let rejected =
        p.requests.values().filter_map(|a| a.ended.filter(|e| e.1 == RequestEnd::Rejected).map(|e| (a, e.0)));
    for (a, at) in rejected {
        let ran = a.sends.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran()));
        if let (Some(ran), Idempotency::Keyed { dedup_window_ms, .. }) =
            (ran, p.settings.classes[a.class].idempotency)
        {
            assert!(
                at < ran.sent_at + dedup_window_ms,
                "rejected {} ms after its first attempt, window {dedup_window_ms}",
                at - ran.sent_at
            );
        }
    }
}

fn random_run(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let s = random_settings(&mut rng);
    let initial = if rng.u32(..5) == 0 { vec![] } else { entries(1 + rng.u32(..4)) };
    let mut p = Proxy::new(s, seed, initial);
    for _ in 0..300 {
        match rng.u32(..100) {
            0..40 => {
                let time_left_ms = if rng.u32(..8) == 0 { 0.0 } else { one_of(&mut rng, &TIMES_MS) };
                p.request_with_key(rng.u64(..3), 0, 0, time_left_ms);
            }
            40..65 => {
                let in_flight = p.in_flight();
                if !in_flight.is_empty() {
                    let (id, n, _) = in_flight[rng.usize(..in_flight.len())].clone();
                    p.resolve(id, n, one_of(&mut rng, &OUTCOMES));
                }
            }
            65..70 => {
                let open = p.requests.iter().filter(|(_, a)| a.ended.is_none()).map(|(&id, _)| id);
                let open: Vec<_> = open.collect();
                if !open.is_empty() {
                    p.client_gone(open[rng.usize(..open.len())]);
                }
            }
            70..76 => {
                let mut e = entry(1 + rng.u32(..5));
                e.phase = one_of(&mut rng, &[Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone]);
                e.started_at_ms = if rng.bool() { 0.0 } else { p.now - 100.0 };
                p.list(ListKind::Delta, vec![e]);
            }
            _ => {
                let ms = one_of(&mut rng, &[0.5, 10.0, 40.0, 150.0]);
                advance_by(&mut p, ms);
            }
        }
    }
    advance_by(&mut p, 2500.0);
    let open = p.requests.values().filter(|a| a.ended.is_none()).count();
    assert_eq!(open, 0, "seed {seed}: requests that never ended");
    check_rejections(&p);
}

#[test]
fn rules_hold_under_extreme_settings() {
    (0..400).for_each(random_run);
}

fn proxy_with_dedup_window(dedup_window_ms: f64) -> Proxy {
    let class = class(1000.0, 1.0, Idempotency::Keyed { scope: DedupScope::All, dedup_window_ms });
    Proxy::new(settings(1, vec![class]), 1, entries(3))
}

/// Past the deduplication window, a request that may have run must be neither sent again nor rejected.
#[test]
fn a_request_that_may_have_run_fails_past_the_window() {
    for (window, after, end) in
        [(300.0, 200.0, None), (300.0, 300.0, Some(RequestEnd::Failed)), (0.0, 1.0, Some(RequestEnd::Failed))]
    {
        let mut p = proxy_with_dedup_window(window);
        let id = p.request(0, 0, 2000.0);
        p.advance(p.now + after);
        p.resolve(id, 0, Outcome::Error);
        let a = &p.requests[&id];
        assert_eq!(a.ended.map(|e| e.1), end, "window {window}, after {after} ms");
        assert_eq!(a.sends.len(), 1 + usize::from(end.is_none()), "window {window}, after {after} ms");
    }
}

/// The deduplication window starts at the first attempt that may have run, not at the latest one, nor at one
/// that cannot have run.
#[test]
fn the_window_starts_at_the_first_attempt_that_may_have_run() {
    let mut p = proxy_with_dedup_window(300.0);
    let id = p.request(0, 0, 2000.0);
    p.advance(p.now + 200.0);
    p.resolve(id, 0, Outcome::ConnectFailed);
    p.advance(p.now + 200.0);
    p.resolve(id, 1, Outcome::Error);
    assert_eq!(
        p.requests[&id].sends.len(),
        3,
        "the first attempt never ran, so 200 ms of the window have passed"
    );
    p.advance(p.now + 200.0);
    p.resolve(id, 2, Outcome::Error);
    assert_eq!(p.requests[&id].ended.map(|e| e.1), Some(RequestEnd::Failed));
}
