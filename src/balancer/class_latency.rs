//! The latency of a class: its mean, its baseline without a queue, and the target at which the concurrency
//! limit is fully used. The mean is updated by each successful answer, the baseline also by each window of
//! the concurrency limit.

/// Target mean latency, as a share of the class's objective. It is well below 1 because half of the calls are
/// slower than that.
const TARGET_SHARE_OF_OBJECTIVE: f64 = 0.4;
/// Lower bound of the target, as a multiple of the class's baseline latency: with a lower target, chance
/// alone would shrink the limit.
const TARGET_MIN_BASELINES: f64 = 1.3;
/// Number of answers over which a class's mean latency is averaged.
const MEAN_LATENCY_SAMPLES: f64 = 100.0;
/// Largest multiple of the mean that one answer counts as: a heavy tail comes from the work, not from a
/// queue.
pub(super) const MAX_RELATIVE_LATENCY: f64 = 6.0;
/// Fewest outcomes in a window of the concurrency limit, and fewest answers with which a baseline is more
/// than the mean so far.
pub(super) const MIN_WINDOW_OUTCOMES: f64 = 10.0;

/// Latency statistics of a class, and its calls in flight.
#[derive(Default)]
pub(super) struct ClassLatency {
    pub(super) objective_ms: f64,
    pub(super) samples: f64,
    pub(super) mean_ms: f64,
    /// Estimate of the mean latency (ms) without a queue at the backends.
    pub(super) baseline_ms: f64,
    pub(super) in_flight: f64,
}

impl ClassLatency {
    /// Returns the mean latency (ms) at which the concurrency limit counts as fully used, at least 1 ms.
    pub(super) fn target_ms(&self) -> f64 {
        (TARGET_SHARE_OF_OBJECTIVE * self.objective_ms).max(TARGET_MIN_BASELINES * self.baseline_ms).max(1.0)
    }

    pub(super) fn record(&mut self, latency_ms: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_LATENCY_SAMPLES);
        let max_ms = MAX_RELATIVE_LATENCY * self.mean_ms.max(latency_ms / self.samples);
        self.mean_ms += (latency_ms.min(max_ms) - self.mean_ms) / self.samples;
        if self.mean_ms < self.baseline_ms || self.samples < MIN_WINDOW_OUTCOMES {
            self.baseline_ms = self.mean_ms;
        }
    }
}
