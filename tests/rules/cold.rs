//! What all instances together send to cold backends.

use crate::common::*;
use load_balancer::interface::*;

/// Every instance learns of a start at the same moment and sends all that its own budget allows: together they stay
/// under the multiple of the least capacity reached, whatever the number of instances.
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
                    if s.backend == 3 && s.at >= started_at {
                        sends.push(s.at - started_at);
                    }
                    if p.now - s.at >= 250.0 || s.backend == 3 {
                        p.resolve(id, attempt, Outcome::Ok);
                    }
                }
                p.drop_finished();
            }
        }
        sends.sort_by(f64::total_cmp);
        // 400 requests a second per instance over 8 backends: a warm one bears at least this many a second.
        let warm = 400.0 * f64::from(instances) / f64::from(n);
        for from in 0..2000 {
            let from = f64::from(from);
            let got = sends.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let present = 0.12 + 0.88 * from / 20_000.0;
            assert!(got <= 3.0 * present * warm, "{instances} instances: {got} sends from {from} ms on");
        }
        assert!(!sends.is_empty(), "{instances} instances: the cold backend gets its share");
    }
}

/// Restarts the backends from `new` on in a list of `n` at 400 requests a second, and counts for 4 s what they
/// are sent, each; they answer at once, the others after `wait`. The second figure is what one could bear by then.
fn sends_to_cold_backends(n: u32, new: u32, wait: f64, processes: u32) -> (f64, f64) {
    let mut p = Proxy::new(settings(1, vec![class(2000.0, 1.0, Idempotency::Idempotent)]), 1, entries(n));
    p.serve(6000.0, 2, 0, 250.0);
    let started_at = p.now;
    p.notify(Event::LocalProcesses { processes });
    p.list(ListKind::Delta, (new..=n).map(|b| Entry { started_at_ms: started_at, ..entry(b) }).collect());
    let mut sends = 0;
    for _ in 0..800 {
        p.request(0, 0, 1e5);
        p.request(0, 0, 1e5);
        p.advance(p.now + 5.0);
        for (id, attempt, s) in p.in_flight() {
            let cold = s.backend >= new && s.at > started_at;
            sends += u32::from(cold && s.at >= p.now - 5.0);
            if p.now - s.at >= wait || cold {
                p.resolve(id, attempt, Outcome::Ok);
            }
        }
        p.drop_finished();
    }
    let warm_up_fraction = (0.12 + 0.12 + 0.88 * 4.0 / 20.0) / 2.0;
    (f64::from(sends) / f64::from(n - new + 1), 4.0 * warm_up_fraction * 400.0 / f64::from(n))
}

/// A cold backend must get its share also while the others are slow.
#[test]
fn a_cold_backend_is_sent_what_its_capacity_allows() {
    let (sent, bears) = sends_to_cold_backends(5, 5, 250.0, 1);
    assert!(sent > 0.75 * bears, "{sent} sends to a cold backend, {bears:.0} could be borne");
}

/// While a process is replaced, both know the rate that the backends had with one: each may send half of it.
#[test]
fn two_processes_share_what_a_cold_backend_bears() {
    let (one, _) = sends_to_cold_backends(5, 5, 250.0, 1);
    let (of_two, bears) = sends_to_cold_backends(5, 5, 250.0, 2);
    assert!(of_two < 0.6 * one, "{of_two} sends each, {one} of one process");
    assert!(2.0 * of_two > 0.6 * bears, "{of_two} sends each, {bears:.0} could be borne by both");
}

/// The budget of cold backends must not fall because the warm ones become slow.
#[test]
fn slow_warm_backends_take_nothing_from_cold_ones() {
    let (sent, bears) = sends_to_cold_backends(10, 5, 2500.0, 1);
    assert!(sent > 0.75 * bears, "{sent} sends to each cold backend, {bears:.0} could be borne");
}

/// A restarted instance knows its cold backends only from a cached list and has measured no rate yet.
#[test]
fn an_instance_without_history_spares_cold_backends() {
    let mut s = settings(10, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
    s.instance_index = 4;
    let cold = entries(10).into_iter().map(|e| Entry { started_at_ms: 900.0, ..e }).collect();
    let mut p = Proxy::new(s, 3, cold);
    for _ in 0..200 {
        p.request(0, 0, 1000.0);
    }
    for b in 1..=10 {
        let sends = p.in_flight().iter().filter(|(_, _, s)| s.backend == b).count();
        assert!(sends <= 1, "{sends} sends at once to a cold backend");
    }
}
