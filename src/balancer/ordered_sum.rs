//! Sums and searches over long sorted sequences, at a cost that depends on the entries that differ from 1 and
//! not on the length. The sums are rounded as if all entries were added one by one, so that the choice of the
//! entries that are stored individually changes no decision.

use crate::interface::BackendId;

/// Returns the index of the first id, at `from` or later, that is not less than `id`, by galloping search:
/// the cost grows with the logarithm of the distance from `from`.
pub(super) fn lower_bound_from(ids: &[BackendId], mut from: usize, id: BackendId) -> usize {
    let mut step = 1;
    while ids.get(from + step).is_some_and(|other| *other < id) {
        from += step;
        step *= 2;
    }
    let end = ids.len().min(from + step);
    from + ids[from..end].partition_point(|other| *other < id)
}

/// Sum of a sequence whose entries are 1, except for those that are added individually.
#[derive(Default, Clone, Copy)]
pub(super) struct OrderedSum {
    sum: f64,
    next: usize,
}

impl OrderedSum {
    /// Adds the entry at `rank`, which must be higher than all ranks added before; entries in between are 1.
    pub(super) fn add(&mut self, rank: usize, value: f64) {
        self.sum = add_ones(self.sum, rank - self.next) + value;
        self.next = rank + 1;
    }

    /// Returns the sum of a sequence of `length` entries.
    pub(super) fn total(self, length: usize) -> f64 {
        add_ones(self.sum, length - self.next)
    }
}

/// Adds 1 to `sum` `ones` times. Additions below the next power of two are exact and done in one step.
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
