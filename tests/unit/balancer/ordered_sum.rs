//! Sums and searches give the same results as plain loops, bit for bit.

use super::*;

fn plain_sum(row: &[f64]) -> f64 {
    row.iter().fold(0.0, |sum, value| sum + value)
}

fn ordered_sum(row: &[f64]) -> f64 {
    let mut sum = OrderedSum::default();
    for (rank, value) in row.iter().enumerate().filter(|(_, value)| **value != 1.0) {
        sum.add(rank, *value);
    }
    sum.total(row.len())
}

#[test]
fn sums_are_rounded_like_one_by_one_additions() {
    let mut rng = fastrand::Rng::with_seed(1);
    for round in 0..3000 {
        let (length, share) = (rng.usize(..2000), [0.0, 0.002, 0.1, 0.9][round % 4]);
        let scale = [1.0, 1e-9, 1e9, 4e15][rng.usize(..4)];
        let value = |rng: &mut fastrand::Rng| if rng.f64() < share { scale * rng.f64() } else { 1.0 };
        let row: Vec<f64> = (0..length).map(|_| value(&mut rng)).collect();
        assert_eq!(ordered_sum(&row).to_bits(), plain_sum(&row).to_bits(), "round {round}: {row:?}");
    }
}

#[test]
fn sums_too_large_to_change_by_one_equal_the_plain_sum() {
    for first in [f64::MAX, f64::INFINITY, 9_007_199_254_740_993.0, f64::MIN_POSITIVE] {
        let row = [&[first][..], &[1.0; 50], &[0.3], &[1.0; 5]].concat();
        assert_eq!(ordered_sum(&row).to_bits(), plain_sum(&row).to_bits(), "{first}");
    }
}

#[test]
fn lower_bound_is_found_from_any_earlier_index() {
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..2000 {
        let mut ids: Vec<BackendId> = (0..rng.usize(..300)).map(|_| rng.u32(..1000)).collect();
        ids.sort_unstable();
        ids.dedup();
        let id = rng.u32(..1000);
        let index = ids.partition_point(|other| *other < id);
        assert_eq!(lower_bound_from(&ids, rng.usize(..=index), id), index, "{id} in {ids:?}");
    }
}
