//! Zones, and what crossing them costs.

use super::{healthy, plain, run};
use crate::common::*;
use load_balancer::interface::*;
use std::collections::BTreeMap;

/// The share of an instance's last calls that left its zone, where answers take `near` ms and 50 ms in the other.
fn share_that_left_the_zone(price: f64, near: f64) -> f64 {
    let mut p = two_zones(price);
    run(&mut p, 4000.0, healthy);
    let answer =
        |s: &Sent, now: f64| (now - s.at >= if s.backend <= 5 { near } else { 50.0 }).then_some(Outcome::Ok);
    run(&mut p, 8000.0, answer);
    share_outside(&run(&mut p, 2000.0, answer))
}

/// Where crossing zones has a price calls stay, until the zone's own latency costs more than the crossing.
#[test]
fn calls_leave_the_zone_only_for_more_than_its_price() {
    assert_eq!(share_that_left_the_zone(0.2, 50.0), 0.0, "nothing is gained by leaving");
    let overloaded = share_that_left_the_zone(0.2, 700.0);
    assert!(overloaded > 0.5, "{overloaded} left a zone that is 0.65 of the objective slower");
    let cheap = share_that_left_the_zone(0.0, 50.0);
    assert!((0.3..0.7).contains(&cheap), "{cheap} left where crossing is free: all zones are one pool");
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
fn a_zone_smaller_than_a_subset_is_filled_up_from_beyond() {
    let mut s = plain(2);
    s.goal.cross_zone_price = 0.015;
    let zones = entries(4).into_iter().map(|e| Entry { zone: e.backend as u16 % 3, ..e }).collect();
    let mut p = Proxy::new(Settings { zone: 2, ..s }, 1, zones);
    // A quarter of the members, so about a quarter of the calls, before any latency shows it.
    let sends = run(&mut p, 1000.0, healthy);
    assert!((30..80).contains(&sends[&2]), "the zone's one of four got too much or too little: {sends:?}");
}

/// The calls of a zone must not all go to its two warm backends while four are cold.
#[test]
fn a_zone_with_less_capacity_than_its_share_spills_the_rest_at_once() {
    let mut s = plain(1);
    s.goal.cross_zone_price = 0.015;
    let zones = entries(12).into_iter().map(|e| Entry { zone: e.backend as u16 % 2, ..e }).collect();
    let mut p = Proxy::new(s, 1, zones);
    let of_its_zone = |sends: &BTreeMap<BackendId, usize>| -> usize {
        sends.iter().filter(|(b, _)| **b % 2 == 0).map(|(_, n)| n).sum()
    };
    let all = of_its_zone(&run(&mut p, 1000.0, healthy));
    assert!(all > 180, "{all} of 200 calls stay in a zone that bears its half");
    // Four of its six are new, so it bears 2.5 of the 8.5 that the list does, and its part would be the half.
    let started_at = p.now;
    p.list(ListKind::Delta, (1..=4).map(|b| Entry { started_at_ms: started_at, ..entry(2 * b) }).collect());
    let part = of_its_zone(&run(&mut p, 1000.0, healthy));
    assert!((80..150).contains(&part), "{part} of 200 calls stay in a zone that bears 0.29 of the list");
}

fn share_outside(sends: &BTreeMap<BackendId, usize>) -> f64 {
    let far: usize = sends.iter().filter(|(b, _)| **b > 5).map(|(_, n)| n).sum();
    far as f64 / sends.values().sum::<usize>().max(1) as f64
}

/// A zone without calls sends no answers, and its last bad estimate must not keep calls away for good (incident
/// idf6b26).
#[test]
fn a_zone_that_was_left_is_tried_again() {
    let mut p = two_zones(0.2);
    let slow = |s: &Sent, now: f64| {
        (now - s.at >= if s.backend <= 5 { 1800.0 } else { 50.0 }).then_some(Outcome::Ok)
    };
    run(&mut p, 3000.0, healthy);
    run(&mut p, 15_000.0, slow);
    let away = share_outside(&run(&mut p, 2000.0, slow));
    assert!(away > 0.8, "{away} outside a zone that takes 1.8 objectives");
    run(&mut p, 60_000.0, healthy);
    let back = share_outside(&run(&mut p, 2000.0, healthy));
    assert!(back < 0.1, "{back} still outside, a minute after the zone has recovered");
}

/// Clients that leave before slow answers arrive must not hide the slowness of the zone.
#[test]
fn cancelled_calls_count_as_slow_for_their_zone() {
    let mut p = two_zones(0.2);
    run(&mut p, 3000.0, healthy);
    let (end, mut far, mut all) = (p.now + 15_000.0, 0, 0);
    while p.now < end {
        p.request(0, 0, 4000.0);
        p.advance(p.now + 5.0);
        for (id, n, s) in p.in_flight() {
            let open = p.requests[&id].ended.is_none();
            // A third of the zone's answers come quickly: it is not silent.
            if (s.backend > 5 || id % 3 == 0) && p.now - s.at >= 50.0 {
                p.resolve(id, n, Outcome::Ok);
            } else if open && s.backend <= 5 && p.now - s.at >= 900.0 {
                p.client_gone(id);
            }
            if s.at >= p.now - 5.0 && p.now > end - 3000.0 {
                (far, all) = (far + usize::from(s.backend > 5), all + 1);
            }
        }
        p.drop_finished();
    }
    assert!(far * 2 > all, "{far} of {all} calls leave a zone whose clients all give up");
}
