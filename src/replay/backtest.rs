//! The back-test: a replay of the table in force must reproduce the recorded figures.

use super::recorded_traffic::RecordedTraffic;
use super::statistics::TrafficStatistics;
use super::{Bounds, CannotTellReason};

/// Standard deviations of a number of calls that count as random variation.
const CHANCE_Z_SCORE: f64 = 3.0;
/// Variance of a backend's number of calls, relative to that of independent random picks.
const CALL_DISPERSION: f64 = 2.0;
/// Served requests without which the latency quantiles of a class are not compared.
const MIN_SERVED_REQUESTS: usize = 100;

/// Relative errors of the replay of the table in force, each 0 to 1.
pub(super) struct RelativeErrors {
    /// Errors of the shares of calls, by backend.
    pub shares: Vec<f64>,
    /// Errors of the median latencies, by class.
    pub p50: Vec<f64>,
    /// Errors of the 99th percentiles of latency, by class.
    pub p99: Vec<f64>,
    /// Number of recorded calls, not scaled up for the sampling.
    pub recorded_calls: f64,
}

/// A recorded figure and its replay.
struct Comparison {
    figure: String,
    recorded: f64,
    replayed: f64,
    /// Maximum difference between both.
    allowed: f64,
}

impl Comparison {
    /// The difference as a multiple of the allowed one.
    fn excess(&self) -> f64 {
        (self.replayed - self.recorded).abs() / self.allowed.max(1e-9)
    }
}

fn mean(runs: &[TrafficStatistics], figure: impl Fn(&TrafficStatistics) -> f64) -> f64 {
    runs.iter().map(figure).sum::<f64>() / runs.len().max(1) as f64
}

fn relative_error(recorded: f64, replayed: f64) -> f64 {
    if recorded > 0.0 { ((replayed - recorded) / recorded).abs().min(1.0) } else { 0.0 }
}

impl RelativeErrors {
    pub fn of(recorded: &TrafficStatistics, runs: &[TrafficStatistics]) -> RelativeErrors {
        let share_error =
            |backend| relative_error(recorded.share(backend), mean(runs, |run| run.share(backend)));
        let latency_errors = |quantile: f64| -> Vec<f64> {
            let error = |class: usize| {
                let replayed_ms = mean(runs, |run| run.classes[class].latency_ms(quantile));
                relative_error(recorded.classes[class].latency_ms(quantile), replayed_ms)
            };
            (0..recorded.classes.len()).map(error).collect()
        };
        RelativeErrors {
            shares: (0..recorded.calls.len()).map(share_error).collect(),
            p50: latency_errors(0.5),
            p99: latency_errors(0.99),
            recorded_calls: recorded.unscaled_calls as f64,
        }
    }
}

/// Checks the replay of the table in force against the records. Returns the figure with the largest deviation relative
/// to what is allowed, if any deviates by more.
pub(super) fn failure(
    bounds: &Bounds,
    records: &RecordedTraffic,
    recorded: &TrafficStatistics,
    runs: &[TrafficStatistics],
) -> Option<CannotTellReason> {
    let mut comparisons = Vec::new();
    for (index, backend) in records.backends.iter().enumerate() {
        let recorded_share = recorded.share(index);
        let replayed_share = mean(runs, |run| run.share(index));
        let variance =
            CALL_DISPERSION * recorded_share.max(replayed_share) / (recorded.unscaled_calls as f64).max(1.0);
        comparisons.push(Comparison {
            figure: format!("share of {}", backend.host),
            recorded: recorded_share,
            replayed: replayed_share,
            allowed: bounds.share * recorded_share + CHANCE_Z_SCORE * variance.sqrt(),
        });
    }
    for (index, name) in records.classes.iter().enumerate() {
        let class = &recorded.classes[index];
        if class.served() < MIN_SERVED_REQUESTS {
            continue;
        }
        for (label, quantile, bound) in [("p50", 0.5, bounds.p50), ("p99", 0.99, bounds.p99)] {
            let recorded_ms = class.latency_ms(quantile);
            comparisons.push(Comparison {
                figure: format!("{label} of {name}, ms"),
                recorded: recorded_ms,
                replayed: mean(runs, |run| run.classes[index].latency_ms(quantile)),
                allowed: bound * recorded_ms + class.latency_error_ms(quantile),
            });
        }
    }
    let exceeded = comparisons.into_iter().filter(|comparison| comparison.excess() > 1.0);
    let worst = exceeded.max_by(|a, b| a.excess().total_cmp(&b.excess()))?;
    let Comparison { figure, recorded, replayed, allowed } = worst;
    Some(CannotTellReason::BackTest { figure, recorded, replayed, allowed })
}
