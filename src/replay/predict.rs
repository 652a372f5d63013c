//! Figures with intervals. Each is as wide as the seeds scatter, and as the model is known to be off: a stated part of
//! the figure, and what the back-test missed it by.

use super::backtest::Errors;
use super::recorded_traffic::RecordedTraffic;
use super::tally::Tally;
use super::{BackendFigures, ClassFigures, Prediction, Range};

const SCATTER: f64 = 3.0; // standard deviations
const SHARE: f64 = 0.1; // parts of the figure by which the model is taken to be off
const PEAK: f64 = 0.3;
const P50: f64 = 0.1;
const P99: f64 = 0.2;
const RATES: f64 = 0.005; // refused, failed and crossings: off by so much of all

pub(super) fn predict(r: &RecordedTraffic, runs: &[Tally], errors: &Errors) -> Prediction {
    let range = |of: &dyn Fn(&Tally) -> f64, part: f64, flat: f64| {
        let n = runs.len() as f64;
        let mean = runs.iter().map(of).sum::<f64>() / n;
        let spread = (runs.iter().map(|t| (of(t) - mean).powi(2)).sum::<f64>() / (n - 1.0).max(1.0)).sqrt();
        let half = SCATTER * spread + part * mean + flat;
        Range { low: (mean - half).max(0.0), mean, high: mean + half }
    };
    let backend = |(b, listed): (usize, &super::Listed)| {
        // What the records' own number of calls leaves to chance.
        let calls = errors.calls * runs.iter().map(|t| t.share(b)).sum::<f64>() / runs.len() as f64;
        let share = SHARE.max(errors.shares[b]) + 2.0 / calls.max(1.0).sqrt();
        let share = range(&|t| t.share(b), share, 0.0);
        (listed.host.clone(), BackendFigures { share, peak: range(&|t| t.peaks[b], PEAK, 1.0) })
    };
    let class = |(c, name): (usize, &String)| {
        let part = |count: u64, t: &Tally| count as f64 / t.classes[c].all.max(1) as f64;
        let figures = ClassFigures {
            p50_ms: range(&|t| t.classes[c].at(0.5), P50.max(errors.p50[c]), 0.0),
            p99_ms: range(&|t| t.classes[c].at(0.99), P99.max(errors.p99[c]), 0.0),
            refused: range(&|t| part(t.classes[c].refused, t), 0.0, RATES),
            failed: range(&|t| part(t.classes[c].failed, t), 0.0, RATES),
        };
        (name.clone(), figures)
    };
    Prediction {
        backends: r.backends.iter().enumerate().map(backend).collect(),
        classes: r.classes.iter().enumerate().map(class).collect(),
        crossings: range(&|t| t.crossings / t.all_calls().max(1.0), SHARE, RATES),
    }
}
