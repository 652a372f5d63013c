//! Empirical distributions, kept as quantiles of the recorded values.

/// Maximum number of quantiles kept of one distribution.
const MAX_QUANTILES: usize = 1024;

/// An empirical distribution, by evenly spaced quantiles in ascending order.
pub(super) struct Quantiles(Vec<f32>);

impl Quantiles {
    /// The distribution of values in any order; without any value, all quantiles are 1.
    pub(super) fn of(mut values: Vec<f64>) -> Quantiles {
        values.sort_by(f64::total_cmp);
        let count = values.len();
        if count == 0 {
            return Quantiles(vec![1.0]);
        }
        if count <= MAX_QUANTILES {
            return Quantiles(values.iter().map(|&value| value as f32).collect());
        }
        let quantile = |index: usize| values[index * (count - 1) / (MAX_QUANTILES - 1)] as f32;
        Quantiles((0..MAX_QUANTILES).map(quantile).collect())
    }

    /// The quantile at `probability`, 0 to 1, interpolated linearly.
    pub(super) fn at(&self, probability: f64) -> f64 {
        let last = self.0.len() - 1;
        let position = probability * last as f64;
        let index = position as usize;
        let lower = f64::from(self.0[index]);
        let upper = f64::from(self.0[(index + 1).min(last)]);
        lower + (upper - lower) * position.fract()
    }
}

/// The middle value, the upper one of two; 0 without values.
pub(super) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
