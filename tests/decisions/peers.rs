//! The instance's share of the fleet's budgets, by the number of live instances.

use super::plain;
use crate::common::*;
use load_balancer::interface::*;
use std::collections::BTreeSet;

/// The sum of the shares of ten instances in the `sides` of a network partition, each second, over two
/// minutes of the partition and one minute after it.
fn share_sums(sides: &[u32]) -> Vec<f64> {
    let instances: u32 = sides.iter().sum();
    let mut sum = vec![0.0; 180];
    for &side in sides {
        let mut p = Proxy::new(plain(instances), 1, entries(10));
        for (second, sum) in sum.iter_mut().enumerate() {
            match second {
                0 => p.notify(Event::Peers { alive: side, known: instances, rank: None }),
                120 => p.notify(Event::Peers { alive: instances, known: instances, rank: None }),
                _ => {}
            }
            p.advance(p.now + 1000.0);
            *sum += f64::from(side) * p.balancer.share();
        }
    }
    sum
}

#[test]
fn partitioned_instances_together_stay_near_one_budget() {
    for sides in [&[5, 5][..], &[4, 3, 3], &[9, 1], &[6, 4], &[6, 2, 2], &[1; 10]] {
        let sum = share_sums(sides);
        let (highest, majority) = (sum.iter().copied().fold(0.0, f64::max), sides[0] * 2 > 10);
        assert!(highest < 1.5, "{sides:?}: the shares reached a sum of {highest}");
        assert!(sum[4] < 1.1, "{sides:?}: a short partition must raise the sum little, {}", sum[4]);
        assert!(sum[119] > 0.99, "{sides:?}: the budget must be used in full after two minutes");
        assert_eq!(
            highest > 1.01,
            majority && sides[0] < 10,
            "{sides:?}: only a majority may take over shares, {highest}"
        );
        assert!(
            (sum[120] - 1.0).abs() < 0.01,
            "{sides:?}: the sum must be one as soon as the partition ends, {}",
            sum[120]
        );
    }
}

#[test]
fn an_isolated_instance_takes_no_more_than_its_share() {
    let mut p = Proxy::new(plain(10), 1, entries(10));
    assert_eq!(p.balancer.share(), 0.1);
    p.notify(Event::Peers { alive: 1, known: 1, rank: None });
    p.advance(p.now + 600_000.0);
    assert_eq!(p.balancer.share(), 0.1, "an isolated instance must keep its share");
    p.notify(Event::Peers { alive: 20, known: 20, rank: None });
    assert_eq!(p.balancer.share(), 0.05, "with more instances than configured each share must fall at once");
    p.notify(Event::Peers { alive: 0, known: 0, rank: None });
    assert!(p.balancer.share() <= 0.1, "counts of 0 must not raise the share");
}

/// With fewer live instances each covers more backends, so that no backend is left without an instance.
#[test]
fn remaining_instances_cover_the_backends_of_those_that_left() {
    let backends_called = |p: &mut Proxy| {
        let mut called = BTreeSet::new();
        for _ in 0..2000 {
            p.request(0, 0, 1e5);
            p.advance(p.now + 5.0);
            for (id, n, s) in p.in_flight() {
                called.insert(s.backend);
                p.resolve(id, n, Outcome::Ok);
            }
            p.drop_finished();
        }
        called.len()
    };
    let mut p = Proxy::new(plain(10), 1, entries(100));
    assert_eq!(backends_called(&mut p), 20);
    p.notify(Event::Peers { alive: 6, known: 10, rank: None });
    p.advance(p.now + 120_000.0);
    assert!(
        (32..=34).contains(&backends_called(&mut p)),
        "each instance covers two in six backends instead of two in ten"
    );
}
