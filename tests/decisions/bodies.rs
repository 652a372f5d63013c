//! Bodies that are still arriving, and retries.

use super::{healthy, plain, run};
use crate::common::*;
use load_balancer::interface::*;

/// Bodies that arrive slowly hold no slot and do not count as a backend's silence; complete, they are calls like
/// others.
#[test]
fn a_slow_body_is_not_the_backends_time() {
    let mut p = Proxy::new(plain(1), 1, entries(4));
    run(&mut p, 2000.0, healthy);
    let pending: Vec<_> = (0..40).map(|_| p.request_with_pending_body(0)).collect();
    assert_eq!(
        p.in_flight().iter().filter(|(id, ..)| pending.contains(id)).count(),
        40,
        "each has an attempt"
    );
    let end = p.now + 10_000.0;
    while p.now < end {
        let id = p.request(0, 0, 4000.0);
        assert_eq!(p.requests[&id].sends.len(), 1, "another call is not queued");
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            if !pending.contains(&id) && p.now - s.at >= 50.0 {
                p.resolve(id, n, Outcome::Ok);
            }
        }
        assert_eq!(p.balancer.census().excluded, 0, "a backend is ejected for its clients' slowness");
    }
    pending.iter().for_each(|&id| p.complete_body(id, 4000.0));
    let late = p.request(0, 0, 4000.0);
    assert_eq!(p.requests[&late].sends.len(), 0, "now they are calls in flight");
    p.advance(p.now + 50.0);
    for (id, n, _) in p.in_flight() {
        p.resolve(id, n, Outcome::Ok);
    }
    assert!(pending.iter().all(|id| p.requests[id].ended.is_some_and(|e| e.1 == "served")));
}

/// A request whose body was partly consumed is not sent again, even where nothing ran; it is rejected at once.
#[test]
fn a_consumed_body_is_not_sent_again() {
    let mut p = Proxy::new(plain(1), 1, entries(4));
    for (consumed, sends) in [(false, 2), (true, 1)] {
        let request = p.request_with_pending_body(0);
        let backend = p.requests[&request].sends[0].backend;
        p.requests.get_mut(&request).expect("asked").sends[0].outcome = Some(Outcome::ConnectFailed);
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

/// Retries of requests that may have run are a share of the traffic: no retry storm.
#[test]
fn retries_are_bounded() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    let (mut asked, mut sent) = (0, 0);
    for _ in 0..2000 {
        p.request(0, 0, 4000.0);
        asked += 1;
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            if p.now - s.at >= 20.0 {
                sent += 1;
                p.resolve(id, n, Outcome::Error);
            }
        }
        p.drop_finished();
    }
    assert!(sent * 10 <= asked * 12, "{sent} attempts for {asked} requests that all fail");
}
