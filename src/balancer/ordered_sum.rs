//! Exact sums and searches over long sorted rows, at the cost of the entries that differ and not of the row.
//!
//! The sums are rounded as if all entries were added one by one, so that which entries are stored one by one
//! changes no decision.

use crate::interface::BackendId;

/// Index of the first id that is not less than `id`, at `from` or later; quick if it is near `from`.
pub(super) fn lower_bound_from(ids: &[BackendId], mut from: usize, id: BackendId) -> usize {
    let mut step = 1;
    while ids.get(from + step).is_some_and(|other| *other < id) {
        from += step;
        step *= 2;
    }
    let end = ids.len().min(from + step);
    from + ids[from..end].partition_point(|other| *other < id)
}

/// A sum over a row of ones, except for the entries that are added one by one.
#[derive(Default, Clone, Copy)]
pub(super) struct OrderedSum {
    sum: f64,
    next: usize,
}

impl OrderedSum {
    /// Adds the entry of that rank, which is higher than the ranks added before; entries between them are 1.
    pub(super) fn add(&mut self, rank: usize, value: f64) {
        self.sum = add_ones(self.sum, rank - self.next) + value;
        self.next = rank + 1;
    }

    /// The sum over a row of that length.
    pub(super) fn total(self, length: usize) -> f64 {
        add_ones(self.sum, length - self.next)
    }
}

/// Adds 1 `ones` times. Up to the next power of two no addition is rounded, and they are done in one step.
fn add_ones(mut sum: f64, mut ones: usize) -> f64 {
    const EXACT: f64 = (1_u64 << 52) as f64;
    while ones > 0 && sum + 1.0 != sum {
        let power = f64::from_bits(((sum.to_bits() >> 52) + 1) << 52);
        let exact = if sum == 0.0 { EXACT } else { (power - sum).ceil() - 1.0 };
        let steps = if sum < EXACT { (exact as usize).min(ones) } else { 0 };
        if steps > 0 {
            sum += steps as f64;
            ones -= steps;
        } else {
            sum += 1.0;
            ones -= 1;
        }
    }
    sum
}

#[cfg(test)]
#[path = "../../tests/unit/balancer/ordered_sum.rs"]
mod tests;
