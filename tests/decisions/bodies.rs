//! Request bodies that are still arriving, and retries.

use super::{healthy, plain, run};
use crate::common::*;
use load_balancer::interface::*;

/// A pending body holds no slot and does not count as a stalled backend; once it is complete, the call holds
/// a slot.
#[test]
fn a_slow_request_body_does_not_count_against_the_backend() {
    let mut p = Proxy::new(plain(1), 1, entries(4));
    run(&mut p, 2000.0, healthy);
    let pending: Vec<_> = (0..40).map(|_| p.request_with_pending_body(0)).collect();
    assert_eq!(
        p.in_flight().iter().filter(|(id, ..)| pending.contains(id)).count(),
        40,
        "each request with a pending body has an attempt"
    );
    let end = p.now + 10_000.0;
    while p.now < end {
        let id = p.request(0, 0, 4000.0);
        assert_eq!(p.requests[&id].sends.len(), 1, "a complete request was queued behind pending bodies");
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            if !pending.contains(&id) && p.now - s.sent_at >= 50.0 {
                p.resolve(id, n, Outcome::Ok);
            }
        }
        assert_eq!(p.balancer.census().excluded, 0, "a backend was ejected for slow clients");
    }
    pending.iter().for_each(|&id| p.complete_body(id, 4000.0));
    let late = p.request(0, 0, 4000.0);
    assert_eq!(p.requests[&late].sends.len(), 0, "complete bodies must hold slots");
    p.advance(p.now + 50.0);
    for (id, n, _) in p.in_flight() {
        p.resolve(id, n, Outcome::Ok);
    }
    assert!(pending.iter().all(|id| p.requests[id].ended.is_some_and(|e| e.1 == RequestEnd::Served)));
}

/// A queued request whose body was still arriving had no deadline, and kept none once its body was complete: it waited
/// for as long as its class allows.
#[test]
fn a_complete_body_limits_the_time_in_a_queue() {
    let mut p = Proxy::new(plain(1), 1, entries(4));
    while p.requests.values().all(|record| !record.sends.is_empty()) {
        p.request(0, 0, 1e5);
    }
    let request = p.request_with_pending_body(0);
    let deadline_ms = p.now + 50.0;
    p.notify(Event::BodyComplete { request, deadline_ms });
    p.advance(deadline_ms + 500.0);
    let ended = p.requests[&request].ended.expect("the request has ended");
    assert!(ended.0 <= deadline_ms && ended.1 == RequestEnd::Rejected, "{ended:?}, deadline {deadline_ms}");
}

/// A request whose body was partly consumed cannot be sent again, even if it never ran: it ends at once.
#[test]
fn a_consumed_body_is_not_sent_again() {
    let mut p = Proxy::new(plain(1), 1, entries(4));
    for (consumed, sends) in [(false, 2), (true, 1)] {
        let request = p.request_with_pending_body(0);
        let backend = p.requests[&request].sends[0].backend;
        p.requests.get_mut(&request).expect("the request is known").sends[0].outcome =
            Some(Outcome::ConnectFailed);
        let outcome = Outcome::ConnectFailed;
        let resolved = Resolved {
            request,
            attempt: 0,
            backend,
            outcome,
            latency_ms: 1.0,
            request_ended: false,
            body_consumed: consumed,
        };
        p.notify(Event::Resolved(resolved));
        assert_eq!(p.requests[&request].sends.len(), sends);
        assert_eq!(p.requests[&request].ended.is_some(), consumed);
    }
}

/// Guards against retry storms: retries of requests that may have run are limited to a share of the traffic.
#[test]
fn retries_are_bounded() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    let (mut requests, mut attempts) = (0, 0);
    for _ in 0..2000 {
        p.request(0, 0, 4000.0);
        requests += 1;
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            if p.now - s.sent_at >= 20.0 {
                attempts += 1;
                p.resolve(id, n, Outcome::Error);
            }
        }
        p.drop_finished();
    }
    assert!(attempts * 10 <= requests * 12, "{attempts} attempts for {requests} requests that all fail");
}
