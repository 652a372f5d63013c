//! What the fleet shares, by how many of it are present.

use super::plain;
use crate::common::*;
use load_balancer::interface::*;
use std::collections::BTreeSet;

/// Ten copies that tell each other by the `sides` of a split: the sum of the parts that all of them take, second by
/// second, over two minutes of the split and one after it.
fn sums_of_parts(sides: &[u32]) -> Vec<f64> {
    let copies: u32 = sides.iter().sum();
    let mut sum = vec![0.0; 180];
    for &side in sides {
        let mut p = Proxy::new(plain(copies), 1, entries(10));
        for (second, sum) in sum.iter_mut().enumerate() {
            match second {
                0 => p.tell(Event::Peers { alive: side, known: copies, rank: None }),
                120 => p.tell(Event::Peers { alive: copies, known: copies, rank: None }),
                _ => {}
            }
            p.advance(p.now + 1000.0);
            *sum += f64::from(side) * p.balancer.share();
        }
    }
    sum
}

#[test]
fn the_sides_of_a_split_never_take_much_more_than_the_whole() {
    for sides in [&[5, 5][..], &[4, 3, 3], &[9, 1], &[6, 4], &[6, 2, 2], &[1; 10]] {
        let sum = sums_of_parts(sides);
        let (most, majority) = (sum.iter().copied().fold(0.0, f64::max), sides[0] * 2 > 10);
        assert!(most < 1.5, "{sides:?}: {most}");
        assert!(sum[4] < 1.1, "{sides:?}: a short split costs little, {}", sum[4]);
        assert!(sum[119] > 0.99, "{sides:?}: nothing is left unused for long");
        assert_eq!(most > 1.01, majority && sides[0] < 10, "{sides:?}: only a majority takes over, {most}");
        assert!(
            (sum[120] - 1.0).abs() < 0.01,
            "{sides:?}: at once after it the sum is the whole, {}",
            sum[120]
        );
    }
}

#[test]
fn who_hears_of_nobody_takes_no_more_than_its_part() {
    let mut p = Proxy::new(plain(10), 1, entries(10));
    assert_eq!(p.balancer.share(), 0.1);
    p.tell(Event::Peers { alive: 1, known: 1, rank: None });
    p.advance(p.now + 600_000.0);
    assert_eq!(p.balancer.share(), 0.1, "it may be cut off from all others");
    p.tell(Event::Peers { alive: 20, known: 20, rank: None });
    assert_eq!(p.balancer.share(), 0.05, "more than configured: less for each, at once");
    p.tell(Event::Peers { alive: 0, known: 0, rank: None });
    assert!(p.balancer.share() <= 0.1, "odd counts are borne");
}

/// What the fleet shares is divided by those who are present: with fewer of them each covers more backends, so that
/// none is left without a copy, and each tenant keeps its quota.
#[test]
fn those_who_stay_cover_the_backends_of_those_who_went() {
    let met = |p: &mut Proxy| {
        let mut met = BTreeSet::new();
        for _ in 0..2000 {
            p.ask(0, 0, 1e5);
            p.advance(p.now + 5.0);
            for (id, n, s) in p.out() {
                met.insert(s.backend);
                p.resolve(id, n, Outcome::Ok);
            }
            p.forget();
        }
        met.len()
    };
    let mut p = Proxy::new(plain(10), 1, entries(100));
    assert_eq!(met(&mut p), 20);
    p.tell(Event::Peers { alive: 6, known: 10, rank: None });
    p.advance(p.now + 120_000.0);
    assert!((32..=34).contains(&met(&mut p)), "two in six instead of two in ten");
}
