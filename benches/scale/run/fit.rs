//! Straight lines through measured points, and how far a prediction by one was off.

/// A prediction that is off by more than this part is not used.
pub const MOST_ERROR: f64 = 0.25;

/// A line through points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// What one more adds.
    pub slope: f64,
    /// Root of the mean square of what the points lie off, in the value's unit.
    pub residual: f64,
}

impl Line {
    /// Through points of size and value; none without two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        if points.is_empty() || spread == 0.0 {
            return None;
        }
        let joint: f64 = points.iter().map(|p| (p.0 - mean_size) * (p.1 - mean_value)).sum();
        let slope = joint / spread;
        let intercept = mean_value - slope * mean_size;
        let off = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).powi(2);
        let residual = (points.iter().map(off).sum::<f64>() / count).sqrt();
        Some(Line { intercept, slope, residual })
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// How far a prediction is off, as a part of what was measured; none where nothing was measured.
pub fn error(predicted: f64, measured: f64) -> Option<f64> {
    (measured != 0.0).then(|| (predicted - measured) / measured)
}

/// Whether a slope with this error may be used.
pub fn usable(error: f64) -> bool {
    error.abs() <= MOST_ERROR
}
