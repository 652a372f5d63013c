//! Bodies that still come, and repeats.

use super::{plain, run, well};
use crate::common::*;
use load_balancer::interface::*;

/// Bodies that come slowly hold no slot and are no backend's silence; once they are whole they are calls like others.
#[test]
fn a_slow_body_is_its_clients_time() {
    let mut p = Proxy::new(plain(1), 1, entries(4));
    run(&mut p, 2000.0, well);
    let coming: Vec<_> = (0..40).map(|_| p.ask_coming(0)).collect();
    assert_eq!(p.out().iter().filter(|(id, ..)| coming.contains(id)).count(), 40, "each has an attempt");
    let end = p.now + 10_000.0;
    while p.now < end {
        let id = p.ask(0, 0, 4000.0);
        assert_eq!(p.asked[&id].sends.len(), 1, "a call beside them is not held");
        p.advance(p.now + 5.0);
        for (id, n, s) in p.out() {
            if !coming.contains(&id) && p.now - s.at >= 50.0 {
                p.resolve(id, n, Outcome::Ok);
            }
        }
        assert_eq!(p.balancer.census().excluded, 0, "a backend is left for its clients' slowness");
    }
    coming.iter().for_each(|&id| p.whole(id, 4000.0));
    let late = p.ask(0, 0, 4000.0);
    assert_eq!(p.asked[&late].sends.len(), 0, "now they are calls in flight");
    p.advance(p.now + 50.0);
    for (id, n, _) in p.out() {
        p.resolve(id, n, Outcome::Ok);
    }
    assert!(coming.iter().all(|id| p.asked[id].ended.is_some_and(|e| e.1 == "served")));
}

/// A body of which a part is gone is not sent again, even where nothing ran; the refusal says so at once.
#[test]
fn a_spent_body_is_not_sent_again() {
    let mut p = Proxy::new(plain(1), 1, entries(4));
    for (spent, sends) in [(false, 2), (true, 1)] {
        let request = p.ask_coming(0);
        let backend = p.asked[&request].sends[0].backend;
        p.asked.get_mut(&request).expect("asked").sends[0].outcome = Some(Outcome::ConnectFailed);
        let outcome = Outcome::ConnectFailed;
        let resolved = Resolved {
            request,
            attempt: 0,
            backend,
            outcome,
            latency_ms: 1.0,
            request_ended: false,
            body_consumed: spent,
        };
        p.tell(Event::Resolved(resolved));
        assert_eq!(p.asked[&request].sends.len(), sends);
        assert_eq!(p.asked[&request].ended.is_some(), spent);
    }
}

/// Repeats of what may have run are a share of the traffic: a failing fleet is not stormed.
#[test]
fn repeats_are_bounded() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    let (mut asked, mut sent) = (0, 0);
    for _ in 0..2000 {
        p.ask(0, 0, 4000.0);
        asked += 1;
        p.advance(p.now + 5.0);
        for (id, n, s) in p.out() {
            if p.now - s.at >= 20.0 {
                sent += 1;
                p.resolve(id, n, Outcome::Error);
            }
        }
        p.forget();
    }
    assert!(sent * 10 <= asked * 12, "{sent} attempts for {asked} requests that all fail");
}
