//! The concurrency limit.

use super::{fill, healthy, plain, run};
use crate::common::*;
use load_balancer::interface::*;

#[test]
fn limit_grows_while_it_is_used_and_answers_are_quick() {
    let mut p = Proxy::new(plain(1), 1, entries(10));
    let start = fill(&mut p, 0, 0, 400);
    for _ in 0..200 {
        p.advance(p.now + 50.0);
        p.in_flight().into_iter().for_each(|(id, n, _)| p.resolve(id, n, Outcome::Ok));
        p.drop_finished();
        fill(&mut p, 0, 0, 100);
    }
    let grown = p.in_flight().len();
    assert!(grown >= 4 * start, "{start} calls out at first, {grown} after 10 s of quick answers");
}

/// Guards against a limit that drifts on an idle instance.
#[test]
fn limit_stays_while_it_is_not_used() {
    let mut p = Proxy::new(plain(1), 1, entries(10));
    let start = fill(&mut Proxy::new(plain(1), 1, entries(10)), 0, 0, 400);
    p.serve(10_000.0, 1, 0, 10.0);
    let after = fill(&mut p, 0, 0, 400);
    assert!(after <= start + 1, "{start} at first, {after} after a quiet time");
}

#[test]
fn limit_falls_when_answers_are_slow_and_many_are_dropped() {
    for (wait, outcome) in [(900.0, Outcome::Ok), (60.0, Outcome::Rejected)] {
        let mut p = Proxy::new(plain(1), 1, entries(10));
        p.serve(3000.0, 4, 0, 40.0);
        let before = fill(&mut p, 0, 0, 400);
        for _ in 0..12 {
            p.advance(p.now + wait);
            for (i, (id, n, _)) in p.in_flight().into_iter().enumerate() {
                p.resolve(id, n, if i % 3 == 0 { outcome } else { Outcome::Ok });
            }
            p.drop_finished();
            fill(&mut p, 0, 0, 400);
        }
        let after = p.in_flight().len();
        assert!(after < before * 3 / 4, "{outcome:?}: {before} calls out before, {after} after");
    }
}

/// A limit that has grown at low load must not let a queue grow to three times what the rate needs before answers
/// are slower than the target.
#[test]
fn limit_keeps_to_what_the_rate_needs_where_there_is_a_queue() {
    let mut p = Proxy::new(plain(1), 1, entries(20));
    p.serve(6000.0, 1, 0, 100.0);
    let before = fill(&mut Proxy::new(plain(1), 1, entries(20)), 0, 0, 400);
    // 200 a second at 100 ms need 20 in flight; at 300 ms, within the objective, 40 of 60 only wait.
    p.serve(4000.0, 1, 0, 300.0);
    let out = p.in_flight().len();
    assert!((20..=38).contains(&out), "{out} calls out, {before} allowed at first");
}

/// The first answers after a change are the quick ones; a limit that grows on them alone overshoots.
#[test]
fn a_few_quick_answers_do_not_grow_the_limit() {
    let mut p = Proxy::new(plain(1), 1, entries(10));
    let start = fill(&mut p, 0, 0, 400);
    for _ in 0..40 {
        p.advance(p.now + 50.0);
        // Only the newest call is answered; all others stay in flight.
        if let Some((id, n, _)) = p.in_flight().pop() {
            p.resolve(id, n, Outcome::Ok);
        }
    }
    let after = fill(&mut p, 0, 0, 400);
    assert!(after <= start + 1, "{start} at first, {after} on a few quick answers");
}

/// The limit must not stay high after the tier has shrunk, until latency shows it.
#[test]
fn limit_shrinks_with_the_list() {
    let out = |gone: bool| {
        let mut p = Proxy::new(plain(1), 1, entries(20));
        if gone {
            p.list(ListKind::Full, entries(5));
        }
        fill(&mut p, 0, 0, 400)
    };
    let (full, shrunk) = (out(false), out(true));
    assert!(shrunk * 3 <= full, "{full} calls out over 20 backends, {shrunk} over the remaining 5");
}

/// In a release each backend is replaced by a new one: the limit must return each time.
#[test]
fn limit_returns_with_the_successors_of_backends_that_left() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    for old in 1..=8 {
        p.list(ListKind::Delta, vec![Entry { phase: Phase::Draining, ..entry(old) }]);
        p.list(ListKind::Delta, vec![Entry { started_at_ms: p.now, ..entry(old + 8) }]);
    }
    p.advance(p.now + 20_000.0);
    let (warm, first) = (fill(&mut p, 0, 0, 400), fill(&mut Proxy::new(plain(1), 1, entries(8)), 0, 0, 400));
    assert!(first - warm <= 1, "{first} calls out at first, {warm} after the release");
}

/// An instance with few calls must not take a queue for its baseline, however early.
#[test]
fn an_early_queue_is_not_taken_for_the_baseline() {
    let mut p = Proxy::new(plain(1), 1, entries(5));
    p.serve(100.0, 1, 0, 40.0);
    let start = fill(&mut p, 0, 0, 400);
    for _ in 0..30 {
        p.advance(p.now + 700.0);
        p.in_flight().into_iter().for_each(|(id, n, _)| p.resolve(id, n, Outcome::Ok));
        p.drop_finished();
        fill(&mut p, 0, 0, 100);
    }
    assert!(
        p.in_flight().len() < start,
        "{start} calls at first, {} after answers at 0.7 objectives",
        p.in_flight().len()
    );
}

/// Answers are lost while those that arrive are quick (incident idc7037). Timeouts alone must not shrink the limit
/// to nothing, nor may lost calls hold slots until their deadline.
#[test]
fn lost_answers_do_not_shrink_the_limit_to_nothing() {
    let mut p = Proxy::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, entries(8));
    let answer = |s: &Sent, now: f64| (now - s.at >= 150.0).then_some(Outcome::Ok);
    run(&mut p, 6000.0, answer);
    // One answer in six never comes, wherever the call went.
    let lossy = |s: &Sent, now: f64| {
        if ((s.at / 5.0) as u64).is_multiple_of(6) { None } else { answer(s, now) }
    };
    let sends = run(&mut p, 30_000.0, lossy);
    let sent: usize = sends.values().sum();
    assert!(sent * 10 > 6000 * 9, "{sent} of 6000 requests sent");
}

/// A call in flight for many times its class's mean is lost or stuck: it holds no slot until its deadline.
#[test]
fn stalled_calls_hold_no_slots() {
    let mut p = Proxy::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, entries(8));
    run(&mut p, 3000.0, healthy);
    let first = fill(&mut p, 0, 0, 400);
    p.advance(p.now + 150.0);
    assert_eq!(fill(&mut p, 0, 0, 400), first, "three means: still in the queue, perhaps");
    p.advance(p.now + 150.0);
    assert!(
        fill(&mut p, 0, 0, 400) >= 2 * first,
        "six means: {} calls out, {first} at first",
        p.in_flight().len()
    );
}

/// Latencies of 2 ms after latencies of 0.5 ms are no queue where the objective is far longer.
#[test]
fn limit_stays_where_answers_take_a_small_part_of_the_objective() {
    let mut p = Proxy::new(plain(1), 1, entries(20));
    p.serve(6000.0, 1, 0, 5.0);
    let before = fill(&mut Proxy::new(plain(1), 1, entries(20)), 0, 0, 400);
    p.serve(4000.0, 1, 0, 20.0);
    let after = fill(&mut p, 0, 0, 400);
    assert!(after >= before - 1, "{before} at first, {after} after answers that took four times as long");
}
