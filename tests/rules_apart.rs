//! The four rules where settings lie far apart: one class, no zones, no tenants, deadlines and windows shorter than the
//! module's own steps of time, the smallest limits.

mod common;

use common::*;
use load_balancer::interface::*;

const TIMES: [f64; 6] = [0.5, 5.0, 20.0, 120.0, 300.0, 2000.0];
const OUTCOMES: [Outcome; 6] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Timeout,
];

fn one_of<T: Copy>(rng: &mut fastrand::Rng, of: &[T]) -> T {
    of[rng.usize(..of.len())]
}

fn apart(rng: &mut fastrand::Rng) -> Settings {
    let window = if rng.bool() { 0.0 } else { one_of(rng, &TIMES) };
    let group = one_of(rng, &[DedupScope::All, DedupScope::Zone, DedupScope::Cell]);
    let idempotency = one_of(
        rng,
        &[
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::Keyed { scope: group, dedup_window_ms: window },
        ],
    );
    let priority_weight = one_of(rng, &[0.0, 1.0, 1e6]);
    let class = Class { in_order: rng.bool(), ..class(one_of(rng, &TIMES), priority_weight, idempotency) };
    let mut s = settings(1 + rng.u32(..30), vec![class]);
    s.tick_ms = one_of(rng, &[1.0, 5.0, 200.0]);
    s.caps.max_attempts = 1 + rng.u32(..3);
    s.caps.cancelling = rng.bool();
    s.caps.retry_after = rng.bool();
    s.caps.max_retry_after_ms = one_of(rng, &TIMES);
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

/// Moves the clock in steps that no deadline is shorter than by more than the grace, whatever the settings' tick.
fn go(p: &mut Proxy, ms: f64) {
    let end = p.now + ms;
    while p.now < end {
        p.advance((p.now + 5.0).min(end));
    }
}

/// A rejection promises that a further try is harmless: none for what may have run and whose repeats are not dropped
/// any more.
fn check_rejections(p: &Proxy) {
    let rejected =
        p.requests.values().filter_map(|a| a.ended.filter(|e| e.1 == "rejected").map(|e| (a, e.0)));
    for (a, at) in rejected {
        let ran = a.sends.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran()));
        if let (Some(ran), Idempotency::Keyed { dedup_window_ms: window, .. }) =
            (ran, p.settings.classes[a.class].idempotency)
        {
            assert!(
                at < ran.at + window,
                "rejected {} ms after its first send, window {window}",
                at - ran.at
            );
        }
    }
}

fn life(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let s = apart(&mut rng);
    let start = if rng.u32(..5) == 0 { vec![] } else { entries(1 + rng.u32(..4)) };
    let mut p = Proxy::new(s, seed, start);
    for _ in 0..300 {
        match rng.u32(..100) {
            0..40 => {
                let left = if rng.u32(..8) == 0 { 0.0 } else { one_of(&mut rng, &TIMES) };
                p.request_with_key(rng.u64(..3), 0, 0, left);
            }
            40..65 => {
                let out = p.in_flight();
                if !out.is_empty() {
                    let (id, n, _) = out[rng.usize(..out.len())].clone();
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
                go(&mut p, ms);
            }
        }
    }
    go(&mut p, 2500.0);
    let open = p.requests.values().filter(|a| a.ended.is_none()).count();
    assert_eq!(open, 0, "seed {seed}: requests without a final answer");
    check_rejections(&p);
}

#[test]
fn rules_hold_where_settings_lie_far_apart() {
    (0..400).for_each(life);
}

fn dedup_all(window: f64) -> Proxy {
    let class = class(1000.0, 1.0, Idempotency::Keyed { scope: DedupScope::All, dedup_window_ms: window });
    Proxy::new(settings(1, vec![class]), 1, entries(3))
}

/// Once repeats are not dropped any more, a request that may have run is neither sent again nor rejected: it fails.
#[test]
fn past_the_window_what_may_have_run_fails() {
    for (window, after, end) in
        [(300.0, 200.0, None), (300.0, 300.0, Some("failed")), (0.0, 1.0, Some("failed"))]
    {
        let mut p = dedup_all(window);
        let id = p.request(0, 0, 2000.0);
        p.advance(p.now + after);
        p.resolve(id, 0, Outcome::Error);
        let a = &p.requests[&id];
        assert_eq!(a.ended.map(|e| e.1), end, "window {window}, {after} ms on");
        assert_eq!(a.sends.len(), 1 + usize::from(end.is_none()), "window {window}, {after} ms on");
    }
}

/// The window counts from the first send that may have run, not from the latest, nor from one that surely did not.
#[test]
fn the_window_counts_from_the_first_send_that_may_have_run() {
    let mut p = dedup_all(300.0);
    let id = p.request(0, 0, 2000.0);
    p.advance(p.now + 200.0);
    p.resolve(id, 0, Outcome::ConnectFailed);
    p.advance(p.now + 200.0);
    p.resolve(id, 1, Outcome::Error);
    assert_eq!(p.requests[&id].sends.len(), 3, "the first never ran: 200 ms of the window are over");
    p.advance(p.now + 200.0);
    p.resolve(id, 2, Outcome::Error);
    assert_eq!(p.requests[&id].ended.map(|e| e.1), Some("failed"));
}
