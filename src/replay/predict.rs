//! Predicts figures with intervals. An interval is as wide as the figure varies between the seeds, plus the model's
//! uncertainty: a fixed part of the figure, or the relative error that the back-test found if that is larger.

use super::backtest::RelativeErrors;
use super::recorded_traffic::RecordedTraffic;
use super::statistics::TrafficStatistics;
use super::{BackendFigures, ClassFigures, Listed, Prediction, Range};

/// Standard deviations over the seeds that an interval extends to either side.
const SEED_Z_SCORE: f64 = 3.0;
/// Relative uncertainty of the model: shares of calls.
const SHARE_UNCERTAINTY: f64 = 0.1;
/// Relative uncertainty of the model: peaks of calls in flight.
const PEAK_UNCERTAINTY: f64 = 0.3;
/// Relative uncertainty of the model: median latencies.
const P50_UNCERTAINTY: f64 = 0.1;
/// Relative uncertainty of the model: 99th percentiles of latency.
const P99_UNCERTAINTY: f64 = 0.2;
/// Absolute uncertainty of the model: shares of refused and failed requests and of calls that cross zones.
const RATE_UNCERTAINTY: f64 = 0.005;

/// Predicts the figures of a table from its simulations, one for each seed, and the errors of the back-test.
pub(super) fn predict(
    records: &RecordedTraffic,
    runs: &[TrafficStatistics],
    errors: &RelativeErrors,
) -> Prediction {
    let range = |figure: &dyn Fn(&TrafficStatistics) -> f64, relative: f64, absolute: f64| {
        let count = runs.len() as f64;
        let mean = runs.iter().map(figure).sum::<f64>() / count;
        let sum_of_squares = runs.iter().map(|run| (figure(run) - mean).powi(2)).sum::<f64>();
        let standard_deviation = (sum_of_squares / (count - 1.0).max(1.0)).sqrt();
        let half_width = SEED_Z_SCORE * standard_deviation + relative * mean + absolute;
        Range { low: (mean - half_width).max(0.0), mean, high: mean + half_width }
    };
    let backend = |(index, listed): (usize, &Listed)| {
        // Random variation of a share is due to the number of recorded calls at the backend.
        let sum_of_shares = runs.iter().map(|run| run.share(index)).sum::<f64>();
        let calls = errors.recorded_calls * sum_of_shares / runs.len() as f64;
        let uncertainty = SHARE_UNCERTAINTY.max(errors.shares[index]) + 2.0 / calls.max(1.0).sqrt();
        let figures = BackendFigures {
            share: range(&|run| run.share(index), uncertainty, 0.0),
            peak: range(&|run| run.peaks[index], PEAK_UNCERTAINTY, 1.0),
        };
        (listed.host.clone(), figures)
    };
    let class = |(index, name): (usize, &String)| {
        let rate =
            |count: u64, run: &TrafficStatistics| count as f64 / run.classes[index].requests.max(1) as f64;
        let p50_uncertainty = P50_UNCERTAINTY.max(errors.p50[index]);
        let p99_uncertainty = P99_UNCERTAINTY.max(errors.p99[index]);
        let figures = ClassFigures {
            p50_ms: range(&|run| run.classes[index].latency_ms(0.5), p50_uncertainty, 0.0),
            p99_ms: range(&|run| run.classes[index].latency_ms(0.99), p99_uncertainty, 0.0),
            refused: range(&|run| rate(run.classes[index].refused, run), 0.0, RATE_UNCERTAINTY),
            failed: range(&|run| rate(run.classes[index].failed, run), 0.0, RATE_UNCERTAINTY),
        };
        (name.clone(), figures)
    };
    let crossings = |run: &TrafficStatistics| run.cross_zone_calls / run.all_calls().max(1.0);
    Prediction {
        backends: records.backends.iter().enumerate().map(backend).collect(),
        classes: records.classes.iter().enumerate().map(class).collect(),
        crossings: range(&crossings, SHARE_UNCERTAINTY, RATE_UNCERTAINTY),
    }
}
