//! Ejection of outliers, and their return by a trial.

use super::{healthy, plain, run};
use crate::common::*;
use load_balancer::interface::*;

/// A hung backend would hold slots until its calls time out.
#[test]
fn a_hung_backend_is_ejected_and_returns() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    run(&mut p, 3000.0, healthy);
    run(&mut p, 3000.0, |s, now| if s.backend == 2 { None } else { healthy(s, now) });
    let stuck = p.in_flight().iter().filter(|(_, _, s)| s.backend == 2).count();
    let hanging = run(&mut p, 2000.0, |s, now| if s.backend == 2 { None } else { healthy(s, now) });
    assert!(
        hanging.get(&2).copied().unwrap_or(0) <= 3,
        "calls still sent to a hung backend: {hanging:?}, {stuck} in flight"
    );
    run(&mut p, 30_000.0, healthy);
    let recovered = run(&mut p, 3000.0, healthy);
    assert!(
        recovered.get(&2).copied().unwrap_or(0) > 20,
        "the recovered backend did not return: {recovered:?}"
    );
}

#[test]
fn a_failing_backend_is_ejected_and_returns() {
    let bad = |s: &Sent, now: f64| if s.backend == 2 { Some(Outcome::Error) } else { healthy(s, now) };
    let mut p = Proxy::new(plain(1), 1, entries(8));
    run(&mut p, 3000.0, healthy);
    run(&mut p, 1000.0, bad);
    let failing = run(&mut p, 2000.0, bad);
    assert!(failing.get(&2).copied().unwrap_or(0) <= 3, "calls still sent to a failing backend: {failing:?}");
    run(&mut p, 30_000.0, healthy);
    let recovered = run(&mut p, 3000.0, healthy);
    assert!(
        recovered.get(&2).copied().unwrap_or(0) > 20,
        "the recovered backend did not return: {recovered:?}"
    );
}

/// A recovered backend must get a trial, although its error rate makes it the more expensive candidate.
#[test]
fn errors_do_not_keep_an_ejected_backend_from_its_trial() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    p.serve(3000.0, 1, 0, 300.0);
    run(&mut p, 1000.0, |s, now| {
        let outcome = if s.backend == 2 { Outcome::Error } else { Outcome::Ok };
        (now - s.sent_at >= 300.0).then_some(outcome)
    });
    let recovered = run(&mut p, 6000.0, healthy);
    assert!(
        recovered.get(&2).copied().unwrap_or(0) > 20,
        "still ejected 6 s after its last error: {recovered:?}"
    );
}

/// Errors that backends return for malformed requests must not count against the backends.
#[test]
fn a_malformed_request_ends_at_once_and_ejects_no_backend() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    let id = p.request(0, 0, 4000.0);
    p.resolve(id, 0, Outcome::Malformed);
    let record = &p.requests[&id];
    assert!(record.ended.is_some() && record.sends.len() == 1, "sent again: {record:?}");
    run(&mut p, 3000.0, healthy);
    let malformed =
        |s: &Sent, now: f64| if s.backend == 2 { Some(Outcome::Malformed) } else { healthy(s, now) };
    run(&mut p, 1000.0, malformed);
    let sends = run(&mut p, 2000.0, malformed);
    assert!(sends.get(&2).copied().unwrap_or(0) > 20, "ejected for malformed requests: {sends:?}");
}

/// A failure common to all backends must not empty the endpoint set.
#[test]
fn errors_at_all_backends_eject_none() {
    let mut p = Proxy::new(plain(1), 1, entries(8));
    run(&mut p, 3000.0, healthy);
    let all = |s: &Sent, now: f64| healthy(s, now).map(|_| Outcome::Error);
    run(&mut p, 4000.0, all);
    let sends = run(&mut p, 4000.0, all);
    assert!(sends.len() >= 7, "backends were ejected although all fail alike: {sends:?}");
}

/// A third of the backends is unreachable (incident ie57de5). The overall error rate includes them and must
/// not raise the ejection threshold above their own rate; nor may failed connects lower the concurrency
/// limit.
#[test]
fn an_unreachable_third_is_ejected() {
    let mut p = Proxy::new(plain(1), 1, entries(9));
    run(&mut p, 3000.0, healthy);
    let unreachable = |s: &Sent, now: f64| {
        if s.backend <= 3 {
            (now - s.sent_at >= 250.0).then_some(Outcome::ConnectFailed)
        } else {
            healthy(s, now)
        }
    };
    run(&mut p, 4000.0, unreachable);
    let sends = run(&mut p, 4000.0, unreachable);
    let wasted: usize = (1..=3).filter_map(|b| sends.get(&b)).sum();
    let all: usize = sends.values().sum();
    assert!(wasted * 20 < all, "{wasted} of {all} sent to the unreachable third");
    assert!(all > 700, "the concurrency limit fell: {all} calls in 4 s");
}

/// One or two samples are too few for an ejection.
#[test]
fn two_errors_eject_no_backend() {
    let mut p = Proxy::new(plain(1), 1, entries(6));
    run(&mut p, 2000.0, healthy);
    let mut errors_left = 2;
    for _ in 0..1000 {
        p.request(0, 0, 4000.0);
        for (id, n, s) in p.in_flight() {
            if s.backend == 2 && errors_left > 0 {
                errors_left -= 1;
                p.resolve(id, n, Outcome::Error);
            } else if s.backend != 2 {
                p.resolve(id, n, Outcome::Ok);
            }
        }
        p.advance(p.now + 5.0);
        if errors_left == 0 {
            break;
        }
    }
    assert_eq!(errors_left, 0, "the backend got too few calls");
    let sends = run(&mut p, 4000.0, healthy);
    assert!(sends.get(&2).copied().unwrap_or(0) > 20, "ejected on two errors: {sends:?}");
}

/// Draining and ejected backends count as excluded, removed ones not at all.
#[test]
fn the_census_counts_excluded_backends() {
    let mut p = Proxy::new(plain(1), 1, entries(6));
    run(&mut p, 2000.0, healthy);
    assert_eq!(p.balancer.census(), Census { listed: 6, excluded: 0, unlisted: 0 });
    let bad = |s: &Sent, now: f64| if s.backend == 2 { Some(Outcome::Error) } else { healthy(s, now) };
    run(&mut p, 4000.0, bad);
    assert_eq!(
        p.balancer.census(),
        Census { listed: 6, excluded: 1, unlisted: 0 },
        "a backend that fails all its calls is ejected"
    );
    let phased = |backend, phase| Entry { phase, ..entry(backend) };
    p.list(ListKind::Delta, vec![phased(1, Phase::Draining), phased(3, Phase::Gone)]);
    assert_eq!(p.balancer.census(), Census { listed: 5, excluded: 2, unlisted: 0 });
}

/// An overloaded backend recovers only when it gets no calls for some seconds (incident ic969f0), so one that
/// is far slower than the others is ejected.
#[test]
fn a_far_slower_backend_is_ejected_to_recover() {
    let slow = |s: &Sent, now: f64| {
        (now - s.sent_at >= if s.backend == 2 { 250.0 } else { 50.0 }).then_some(Outcome::Ok)
    };
    let mut p = Proxy::new(plain(1), 1, entries(8));
    run(&mut p, 3000.0, healthy);
    run(&mut p, 6000.0, slow);
    let (_, longest_quiet_run) = (0..20).fold((0, 0), |(quiet_run, longest), _| {
        for _ in 0..4 {
            p.request(0, 0, 4000.0);
        }
        let quiet = !run(&mut p, 250.0, slow).contains_key(&2);
        let quiet_run = if quiet { quiet_run + 1 } else { 0 };
        (quiet_run, longest.max(quiet_run))
    });
    assert!(longest_quiet_run >= 6, "no 1.5 s without calls, only {longest_quiet_run} periods of 250 ms");
    run(&mut p, 30_000.0, healthy);
    let recovered = run(&mut p, 3000.0, healthy);
    assert!(
        recovered.get(&2).copied().unwrap_or(0) > 20,
        "the recovered backend did not return: {recovered:?}"
    );
}
