//! The rate at which all instances together call cold backends.

use crate::common::*;
use load_balancer::interface::*;

/// Every instance learns of a start at the same time and sends all that its budget allows. Together they must
/// stay under the overload multiple of the backend's capacity at the start of each second, whatever the
/// number of instances.
#[test]
fn all_instances_together_do_not_overload_a_cold_backend() {
    for instances in [2, 10, 40] {
        let n = 8;
        let fleet: Vec<Proxy> = (0..instances)
            .map(|instance| {
                let mut s = settings(instances, vec![class(2000.0, 1.0, Idempotency::Idempotent)]);
                s.instance_index = instance;
                let mut p = Proxy::new(s, u64::from(instance), entries(n));
                p.serve(6000.0, 2, 0, 250.0);
                p
            })
            .collect();
        let mut sends = Vec::new();
        for mut p in fleet {
            let started_at = p.now;
            p.list(ListKind::Delta, vec![Entry { started_at_ms: started_at, ..entry(3) }]);
            for _ in 0..600 {
                p.request(0, 0, 1e5);
                p.request(0, 0, 1e5);
                p.advance(p.now + 5.0);
                for (id, attempt, s) in p.in_flight() {
                    if s.backend == 3 && s.sent_at >= started_at {
                        sends.push(s.sent_at - started_at);
                    }
                    if p.now - s.sent_at >= 250.0 || s.backend == 3 {
                        p.resolve(id, attempt, Outcome::Ok);
                    }
                }
                p.drop_finished();
            }
        }
        sends.sort_by(f64::total_cmp);
        // 400 requests a second per instance over 8 backends: a warm backend serves at least this many a
        // second.
        let warm_capacity = 400.0 * f64::from(instances) / f64::from(n);
        for from in 0..2000 {
            let from = f64::from(from);
            let calls = sends.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let capacity_fraction = 0.12 + 0.88 * from / 20_000.0;
            assert!(
                calls <= 3.0 * capacity_fraction * warm_capacity,
                "{instances} instances: {calls} calls in the second from {from} ms"
            );
        }
        assert!(!sends.is_empty(), "{instances} instances: the cold backend got no calls");
    }
}

/// Restarts the backends from `first_cold` to `n` at 400 requests a second. Returns the calls to each in 4 s,
/// and the number that its capacity in this time allows. Cold backends respond at once, the others after
/// `warm_latency_ms`.
fn calls_to_cold_backends(n: u32, first_cold: u32, warm_latency_ms: f64, processes: u32) -> (f64, f64) {
    let mut p = Proxy::new(settings(1, vec![class(2000.0, 1.0, Idempotency::Idempotent)]), 1, entries(n));
    p.serve(6000.0, 2, 0, 250.0);
    let started_at = p.now;
    p.notify(Event::LocalProcesses { processes });
    p.list(
        ListKind::Delta,
        (first_cold..=n).map(|b| Entry { started_at_ms: started_at, ..entry(b) }).collect(),
    );
    let mut sends = 0;
    for _ in 0..800 {
        p.request(0, 0, 1e5);
        p.request(0, 0, 1e5);
        p.advance(p.now + 5.0);
        for (id, attempt, s) in p.in_flight() {
            let cold = s.backend >= first_cold && s.sent_at > started_at;
            sends += u32::from(cold && s.sent_at >= p.now - 5.0);
            if p.now - s.sent_at >= warm_latency_ms || cold {
                p.resolve(id, attempt, Outcome::Ok);
            }
        }
        p.drop_finished();
    }
    let mean_capacity_fraction = (0.12 + 0.12 + 0.88 * 4.0 / 20.0) / 2.0;
    (f64::from(sends) / f64::from(n - first_cold + 1), 4.0 * mean_capacity_fraction * 400.0 / f64::from(n))
}

/// A cold backend must be used to its capacity also while the others are slow.
#[test]
fn a_cold_backend_gets_the_calls_that_its_capacity_allows() {
    let (calls, capacity) = calls_to_cold_backends(5, 5, 250.0, 1);
    assert!(calls > 0.75 * capacity, "{calls} calls to a cold backend, capacity for {capacity:.0}");
}

/// While a process is replaced, old and new one know the rate that the backends served for one: each may send
/// half of it.
#[test]
fn two_processes_share_the_budget_of_a_cold_backend() {
    let (one, _) = calls_to_cold_backends(5, 5, 250.0, 1);
    let (of_two, capacity) = calls_to_cold_backends(5, 5, 250.0, 2);
    assert!(of_two < 0.6 * one, "{of_two} calls by each of two processes, {one} by a single one");
    assert!(
        2.0 * of_two > 0.6 * capacity,
        "{of_two} calls by each of two processes, capacity for {capacity:.0} by both"
    );
}

/// Guards against a budget of cold backends that falls when the warm ones become slow.
#[test]
fn slow_warm_backends_do_not_lower_the_budget_of_cold_ones() {
    let (calls, capacity) = calls_to_cold_backends(10, 5, 2500.0, 1);
    assert!(calls > 0.75 * capacity, "{calls} calls to each cold backend, capacity for {capacity:.0}");
}

/// A restarted instance knows its cold backends only from a cached list and has not measured any rate.
#[test]
fn an_instance_without_a_measured_rate_limits_calls_to_cold_backends() {
    let mut s = settings(10, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
    s.instance_index = 4;
    let cold = entries(10).into_iter().map(|e| Entry { started_at_ms: 900.0, ..e }).collect();
    let mut p = Proxy::new(s, 3, cold);
    for _ in 0..200 {
        p.request(0, 0, 1000.0);
    }
    for b in 1..=10 {
        let sends = p.in_flight().iter().filter(|(_, _, s)| s.backend == b).count();
        assert!(sends <= 1, "{sends} concurrent calls to a cold backend");
    }
}
