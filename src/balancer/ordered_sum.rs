//! Arithmetic over long ordered rows in few steps.

use crate::interface::BackendId;

/// Where an id is, or would be, among sorted ones, not before `from`; quick if it is near.
pub fn lower_bound_from(ids: &[BackendId], mut from: usize, id: BackendId) -> usize {
    let mut step = 1;
    while ids.get(from + step).is_some_and(|other| *other < id) {
        from += step;
        step *= 2;
    }
    let end = ids.len().min(from + step);
    from + ids[from..end].partition_point(|other| *other < id)
}

/// A sum over a row of which all but the added are 1, rounded as if all were added one by one: it is the same
/// whichever of them are told apart.
#[derive(Default, Clone, Copy)]
pub struct OrderedSum {
    sum: f64,
    next: usize,
}

impl OrderedSum {
    /// Adds the value at a place, which lies behind those added before; what lies between counts 1 each.
    pub fn add(&mut self, rank: usize, value: f64) {
        self.sum = add_ones(self.sum, rank - self.next) + value;
        self.next = rank + 1;
    }
    /// The sum over a row of that length.
    pub fn total(self, length: usize) -> f64 {
        add_ones(self.sum, length - self.next)
    }
}

/// Adds 1 so many times. Up to the next power of two nothing is rounded, and all steps are one.
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
