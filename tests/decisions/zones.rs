//! Zone-aware routing: the price of crossing zones, spill and return.

use super::{healthy, plain, run};
use crate::common::*;
use load_balancer::interface::*;
use std::collections::BTreeMap;

/// The share of calls that leave the zone where responses take `local_ms` in the instance's own zone and 50
/// ms in the other.
fn share_that_left_the_zone(price: f64, local_ms: f64) -> f64 {
    let mut p = two_zones(price);
    run(&mut p, 4000.0, healthy);
    let outcome_of = |s: &Sent, now: f64| {
        (now - s.sent_at >= if s.backend <= 5 { local_ms } else { 50.0 }).then_some(Outcome::Ok)
    };
    run(&mut p, 8000.0, outcome_of);
    share_outside(&run(&mut p, 2000.0, outcome_of))
}

/// Calls stay in the zone until its latency costs more than the price of crossing.
#[test]
fn calls_leave_the_zone_only_for_more_than_the_cross_zone_price() {
    assert_eq!(share_that_left_the_zone(0.2, 50.0), 0.0, "calls left the zone for no gain in latency");
    let overloaded = share_that_left_the_zone(0.2, 700.0);
    assert!(
        overloaded > 0.5,
        "a share of only {overloaded} left a zone that is 0.65 of the objective slower"
    );
    let cheap = share_that_left_the_zone(0.0, 50.0);
    assert!(
        (0.3..0.7).contains(&cheap),
        "a share of {cheap} left although crossing is free and all zones are one pool"
    );
}

/// Two zones of five backends, the instance in the first.
fn two_zones(price: f64) -> Proxy {
    let mut s = plain(1);
    s.goal.cross_zone_price = price;
    let zones = entries(10).into_iter().map(|e| Entry { zone: u16::from(e.backend > 5), ..e }).collect();
    Proxy::new(s, 1, zones)
}

/// A zone with one of four backends must not get nearly all calls of its instances (incident r9836).
#[test]
fn a_subset_larger_than_its_zone_includes_other_zones() {
    let mut s = plain(2);
    s.goal.cross_zone_price = 0.015;
    let zones = entries(4).into_iter().map(|e| Entry { zone: e.backend as u16 % 3, ..e }).collect();
    let mut p = Proxy::new(Settings { zone: 2, ..s }, 1, zones);
    // One backend of four must get about a quarter of the calls before any latency is measured.
    let sends = run(&mut p, 1000.0, healthy);
    assert!(
        (30..80).contains(&sends[&2]),
        "the zone's one backend of four got too many or too few calls: {sends:?}"
    );
}

/// The calls of a zone must not all go to its two warm backends while four are cold.
#[test]
fn a_zone_with_less_capacity_than_its_share_spills_the_rest_at_once() {
    let mut s = plain(1);
    s.goal.cross_zone_price = 0.015;
    let zones = entries(12).into_iter().map(|e| Entry { zone: e.backend as u16 % 2, ..e }).collect();
    let mut p = Proxy::new(s, 1, zones);
    let local_calls = |sends: &BTreeMap<BackendId, usize>| -> usize {
        sends.iter().filter(|(b, _)| **b % 2 == 0).map(|(_, n)| n).sum()
    };
    let all = local_calls(&run(&mut p, 1000.0, healthy));
    assert!(all > 180, "only {all} of 200 calls stay in a zone with half of the capacity");
    // Four of the zone's six backends are cold, so it has 2.5 of the list's capacity of 8.5, and its share of
    // the load is half.
    let started_at = p.now;
    p.list(ListKind::Delta, (1..=4).map(|b| Entry { started_at_ms: started_at, ..entry(2 * b) }).collect());
    let partial = local_calls(&run(&mut p, 1000.0, healthy));
    assert!((80..150).contains(&partial), "{partial} of 200 calls stay in a zone with 0.29 of the capacity");
}

fn share_outside(sends: &BTreeMap<BackendId, usize>) -> f64 {
    let outside: usize = sends.iter().filter(|(b, _)| **b > 5).map(|(_, n)| n).sum();
    outside as f64 / sends.values().sum::<usize>().max(1) as f64
}

/// A zone without calls yields no latencies, and its last high estimate must not keep calls away for good
/// (incident idf6b26).
#[test]
fn a_zone_without_calls_is_tried_again() {
    let mut p = two_zones(0.2);
    let slow = |s: &Sent, now: f64| {
        (now - s.sent_at >= if s.backend <= 5 { 1800.0 } else { 50.0 }).then_some(Outcome::Ok)
    };
    run(&mut p, 3000.0, healthy);
    run(&mut p, 15_000.0, slow);
    let left_share = share_outside(&run(&mut p, 2000.0, slow));
    assert!(left_share > 0.8, "a share of only {left_share} left a zone that takes 1.8 times the objective");
    run(&mut p, 60_000.0, healthy);
    let share_after_recovery = share_outside(&run(&mut p, 2000.0, healthy));
    assert!(
        share_after_recovery < 0.1,
        "a share of {share_after_recovery} still leaves the zone a minute after its recovery"
    );
}

/// Clients that disconnect before slow responses arrive must not hide the latency of the zone.
#[test]
fn cancelled_calls_count_as_slow_for_their_zone() {
    let mut p = two_zones(0.2);
    run(&mut p, 3000.0, healthy);
    let (end, mut outside, mut all) = (p.now + 15_000.0, 0, 0);
    while p.now < end {
        p.request(0, 0, 4000.0);
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            let open = p.requests[&id].ended.is_none();
            // A third of the zone's responses are quick, so the zone is not silent.
            if (s.backend > 5 || id % 3 == 0) && p.now - s.sent_at >= 50.0 {
                p.resolve(id, n, Outcome::Ok);
            } else if open && s.backend <= 5 && p.now - s.sent_at >= 900.0 {
                p.client_gone(id);
            }
            if s.sent_at >= p.now - 5.0 && p.now > end - 3000.0 {
                (outside, all) = (outside + usize::from(s.backend > 5), all + 1);
            }
        }
        p.drop_finished();
    }
    assert!(outside * 2 > all, "only {outside} of {all} calls leave a zone whose clients all disconnect");
}
