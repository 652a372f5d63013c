//! Shares of what the fleet shares, by the number of live instances.

use super::plain;
use crate::common::*;
use load_balancer::interface::*;
use std::collections::BTreeSet;

/// Ten instances in the `sides` of a network partition: the sum of the shares that all of them take, each second,
/// over two minutes of the partition and one after it.
fn sums_of_shares(sides: &[u32]) -> Vec<f64> {
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
fn the_sides_of_a_partition_never_take_much_more_than_one_budget() {
    for sides in [&[5, 5][..], &[4, 3, 3], &[9, 1], &[6, 4], &[6, 2, 2], &[1; 10]] {
        let sum = sums_of_shares(sides);
        let (most, majority) = (sum.iter().copied().fold(0.0, f64::max), sides[0] * 2 > 10);
        assert!(most < 1.5, "{sides:?}: {most}");
        assert!(sum[4] < 1.1, "{sides:?}: a short partition costs little, {}", sum[4]);
        assert!(sum[119] > 0.99, "{sides:?}: nothing is unused for long");
        assert_eq!(most > 1.01, majority && sides[0] < 10, "{sides:?}: only a majority takes over, {most}");
        assert!((sum[120] - 1.0).abs() < 0.01, "{sides:?}: at once after it the sum is one, {}", sum[120]);
    }
}

#[test]
fn an_isolated_instance_takes_no_more_than_its_share() {
    let mut p = Proxy::new(plain(10), 1, entries(10));
    assert_eq!(p.balancer.share(), 0.1);
    p.notify(Event::Peers { alive: 1, known: 1, rank: None });
    p.advance(p.now + 600_000.0);
    assert_eq!(p.balancer.share(), 0.1, "it may be cut off from all others");
    p.notify(Event::Peers { alive: 20, known: 20, rank: None });
    assert_eq!(p.balancer.share(), 0.05, "more than configured: less for each, at once");
    p.notify(Event::Peers { alive: 0, known: 0, rank: None });
    assert!(p.balancer.share() <= 0.1, "impossible counts do no harm");
}

/// With fewer live instances each covers more backends, so that none is without an instance, and each tenant keeps
/// its quota.
#[test]
fn remaining_instances_cover_the_backends_of_those_that_left() {
    let met = |p: &mut Proxy| {
        let mut met = BTreeSet::new();
        for _ in 0..2000 {
            p.request(0, 0, 1e5);
            p.advance(p.now + 5.0);
            for (id, n, s) in p.in_flight() {
                met.insert(s.backend);
                p.resolve(id, n, Outcome::Ok);
            }
            p.drop_finished();
        }
        met.len()
    };
    let mut p = Proxy::new(plain(10), 1, entries(100));
    assert_eq!(met(&mut p), 20);
    p.notify(Event::Peers { alive: 6, known: 10, rank: None });
    p.advance(p.now + 120_000.0);
    assert!((32..=34).contains(&met(&mut p)), "two in six instead of two in ten");
}
