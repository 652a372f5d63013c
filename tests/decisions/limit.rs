//! The concurrency limit.

use super::{fill, healthy, plain, run};
use crate::common::*;
use load_balancer::interface::*;

#[test]
fn limit_grows_while_it_is_reached_and_responses_are_quick() {
    let mut p = Proxy::new(plain(1), 1, entries(10));
    let initial = fill(&mut p, 0, 0, 400);
    for _ in 0..200 {
        p.advance(p.now + 50.0);
        p.in_flight().into_iter().for_each(|(id, n, _)| p.resolve(id, n, Outcome::Ok));
        p.drop_finished();
        fill(&mut p, 0, 0, 100);
    }
    let grown = p.in_flight().len();
    assert!(
        grown >= 4 * initial,
        "{initial} calls in flight at first, {grown} after 10 s of quick responses"
    );
}

/// Guards against a limit that drifts while it is not reached.
#[test]
fn limit_stays_while_it_is_not_reached() {
    let mut p = Proxy::new(plain(1), 1, entries(10));
    let initial = fill(&mut Proxy::new(plain(1), 1, entries(10)), 0, 0, 400);
    p.serve(10_000.0, 1, 0, 10.0);
    let after = fill(&mut p, 0, 0, 400);
    assert!(after <= initial + 1, "{initial} calls in flight at first, {after} after a time of low load");
}

#[test]
fn limit_falls_when_responses_are_slow_or_rejected() {
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
        assert!(after < before * 3 / 4, "{outcome:?}: {before} calls in flight before, {after} after");
    }
}

/// A limit that has grown at low load must not let the calls in flight reach three times what the rate needs
/// while responses are still within the latency objective.
#[test]
fn limit_stays_near_what_the_rate_needs_while_calls_queue() {
    let mut p = Proxy::new(plain(1), 1, entries(20));
    p.serve(6000.0, 1, 0, 100.0);
    let before = fill(&mut Proxy::new(plain(1), 1, entries(20)), 0, 0, 400);
    // 200 a second at 100 ms need 20 in flight; at 300 ms, within the objective, 40 of 60 only wait.
    p.serve(4000.0, 1, 0, 300.0);
    let in_flight = p.in_flight().len();
    assert!((20..=38).contains(&in_flight), "{in_flight} calls in flight, a limit of {before} at first");
}

/// The first responses after a change are the quick ones; a limit that grows on these alone overshoots.
#[test]
fn a_few_quick_responses_do_not_raise_the_limit() {
    let mut p = Proxy::new(plain(1), 1, entries(10));
    let initial = fill(&mut p, 0, 0, 400);
    for _ in 0..40 {
        p.advance(p.now + 50.0);
        // Only the newest call is answered; all others stay in flight.
        if let Some((id, n, _)) = p.in_flight().pop() {
            p.resolve(id, n, Outcome::Ok);
        }
    }
    let after = fill(&mut p, 0, 0, 400);
    assert!(after <= initial + 1, "{initial} calls in flight at first, {after} after a few quick responses");
}

/// The limit must follow a shrunk list at once, not only when latency has risen.
#[test]
fn limit_shrinks_with_the_list() {
    let limit = |shrunk: bool| {
        let mut p = Proxy::new(plain(1), 1, entries(20));
        if shrunk {
            p.list(ListKind::Full, entries(5));
        }
        fill(&mut p, 0, 0, 400)
    };
    let (full, shrunk) = (limit(false), limit(true));
    assert!(shrunk * 3 <= full, "{full} calls in flight with 20 backends, {shrunk} with the remaining 5");
}

/// In a rolling release each backend is replaced by a new one: the limit must recover each time.
#[test]
fn limit_recovers_when_backends_are_replaced() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    for old in 1..=8 {
        p.list(ListKind::Delta, vec![Entry { phase: Phase::Draining, ..entry(old) }]);
        p.list(ListKind::Delta, vec![Entry { started_at_ms: p.now, ..entry(old + 8) }]);
    }
    p.advance(p.now + 20_000.0);
    let (after_release, initial) =
        (fill(&mut p, 0, 0, 400), fill(&mut Proxy::new(plain(1), 1, entries(8)), 0, 0, 400));
    assert!(
        initial - after_release <= 1,
        "{initial} calls in flight at first, {after_release} after the release"
    );
}

/// An instance with few calls must not take early queueing delays for its baseline latency.
#[test]
fn an_early_queue_is_not_taken_for_the_baseline() {
    let mut p = Proxy::new(plain(1), 1, entries(5));
    p.serve(100.0, 1, 0, 40.0);
    let initial = fill(&mut p, 0, 0, 400);
    for _ in 0..30 {
        p.advance(p.now + 700.0);
        p.in_flight().into_iter().for_each(|(id, n, _)| p.resolve(id, n, Outcome::Ok));
        p.drop_finished();
        fill(&mut p, 0, 0, 100);
    }
    assert!(
        p.in_flight().len() < initial,
        "{initial} calls in flight at first, {} after responses at 0.7 of the objective",
        p.in_flight().len()
    );
}

/// Some responses are lost while the others are quick (incident idc7037). Timeouts alone must not lower the
/// limit to its minimum, nor may lost calls hold slots until their deadline.
#[test]
fn lost_responses_do_not_lower_the_limit_to_its_minimum() {
    let mut p = Proxy::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, entries(8));
    let outcome_of = |s: &Sent, now: f64| (now - s.sent_at >= 150.0).then_some(Outcome::Ok);
    run(&mut p, 6000.0, outcome_of);
    // One response in six is lost, whichever backend was called.
    let lossy = |s: &Sent, now: f64| {
        if ((s.sent_at / 5.0) as u64).is_multiple_of(6) { None } else { outcome_of(s, now) }
    };
    let sends = run(&mut p, 30_000.0, lossy);
    let sent: usize = sends.values().sum();
    assert!(sent * 10 > 6000 * 9, "{sent} of 6000 requests sent");
}

/// A call in flight for many times the mean latency of its class is stalled and must not hold a slot until
/// its deadline.
#[test]
fn stalled_calls_hold_no_slots() {
    let mut p = Proxy::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, entries(8));
    run(&mut p, 3000.0, healthy);
    let initial = fill(&mut p, 0, 0, 400);
    p.advance(p.now + 150.0);
    assert_eq!(fill(&mut p, 0, 0, 400), initial, "after three times the mean a call still holds its slot");
    p.advance(p.now + 150.0);
    assert!(
        fill(&mut p, 0, 0, 400) >= 2 * initial,
        "after six times the mean: {} calls in flight, {initial} at first",
        p.in_flight().len()
    );
}

/// A rise in latency, such as from 0.5 to 2 ms, is not queueing if it is a small part of the objective.
#[test]
fn limit_stays_while_latency_is_a_small_part_of_the_objective() {
    let mut p = Proxy::new(plain(1), 1, entries(20));
    p.serve(6000.0, 1, 0, 5.0);
    let before = fill(&mut Proxy::new(plain(1), 1, entries(20)), 0, 0, 400);
    p.serve(4000.0, 1, 0, 20.0);
    let after = fill(&mut p, 0, 0, 400);
    assert!(after >= before - 1, "{before} calls in flight at first, {after} after four times the latency");
}
