//! Key order, and closing of idle connections to draining backends.

use crate::common::*;
use load_balancer::interface::*;

fn ordered_proxy() -> Proxy {
    let idempotency = Idempotency::Keyed { scope: DedupScope::Zone, dedup_window_ms: 800.0 };
    Proxy::new(settings(1, vec![Class { in_order: true, ..class(1000.0, 1.0, idempotency) }]), 1, entries(6))
}

/// The next request of a key waits until the first and all its attempts have ended, and for the settle time
/// if one of them may still run, also if the client has disconnected. Requests of other keys or without a key
/// do not wait.
#[test]
fn a_key_runs_one_at_a_time_and_is_blocked_after_uncertain_outcomes() {
    for (outcome, settle_ms) in [(Outcome::Ok, 0.0), (Outcome::Reset, 300.0), (Outcome::Timeout, 300.0)] {
        let mut p = ordered_proxy();
        let [first, next, other, free] = [7, 7, 8, 0].map(|key| p.request_with_key(key, 0, 0, 3000.0));
        let sends = |p: &Proxy, id| p.requests[&id].sends.len();
        assert_eq!([first, next, other, free].map(|id| sends(&p, id)), [1, 0, 1, 1]);
        if settle_ms > 0.0 {
            p.client_gone(first);
        }
        assert_eq!(sends(&p, next), 0, "{outcome:?}: sent while the first request has an attempt in flight");
        p.resolve(first, 0, outcome);
        assert_eq!(sends(&p, next), usize::from(settle_ms == 0.0), "{outcome:?}");
        p.advance(p.now + settle_ms);
        p.advance(p.now + 100.0);
        assert_eq!(sends(&p, next), 1, "{outcome:?}: the key must not stay blocked");
    }
}

/// Requests queued for a popular key hold no slot, are rejected in time and block no other request.
#[test]
fn requests_queued_for_a_popular_key_block_no_other() {
    let mut p = ordered_proxy();
    let queue: Vec<_> = (0..200).map(|_| p.request_with_key(7, 0, 0, 3000.0)).collect();
    let free = p.request_with_key(0, 0, 0, 3000.0);
    assert_eq!((p.in_flight().len(), p.requests[&free].sends.len()), (2, 1));
    p.advance(p.now + 2500.0);
    assert!(queue[1..].iter().all(|id| p.requests[id].ended.is_some_and(|e| e.1 == RequestEnd::Rejected)));
}

/// Idle connections are closed when draining becomes known, and again after each later outcome.
#[test]
fn idle_connections_to_a_draining_backend_are_closed() {
    let mut p = Proxy::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, entries(1));
    let id = p.request(0, 0, 3000.0);
    p.list(ListKind::Delta, vec![Entry { phase: Phase::Draining, ..entry(1) }]);
    assert_eq!(p.idle_closed_at.get(&1), Some(&p.now));
    p.advance(p.now + 400.0);
    p.resolve(id, 0, Outcome::Ok);
    assert_eq!(
        p.idle_closed_at.get(&1),
        Some(&p.now),
        "idle connections must be closed again after the last outcome"
    );
}
