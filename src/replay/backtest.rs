//! The back-test: the table in force, replayed, must give back what was recorded.

use super::recorded_traffic::RecordedTraffic;
use super::tally::Tally;
use super::{Bounds, Unsure};

const CHANCE: f64 = 3.0; // standard deviations of a count that are chance
const UNEVEN: f64 = 2.0; // variance of calls over that of independent picks
const LEAST: usize = 100; // answers that a class's quantiles need

/// By what part of each figure the replay missed the record.
pub(super) struct Errors {
    pub shares: Vec<f64>,
    pub p50: Vec<f64>,
    pub p99: Vec<f64>,
    /// Recorded calls.
    pub calls: f64,
}

fn mean(runs: &[Tally], of: impl Fn(&Tally) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len().max(1) as f64
}

impl Errors {
    pub fn of(recorded: &Tally, runs: &[Tally]) -> Errors {
        let off = |was: f64, now: f64| if was > 0.0 { ((now - was) / was).abs().min(1.0) } else { 0.0 };
        let quantile = |u: f64| -> Vec<f64> {
            let classes = recorded.classes.iter().enumerate();
            classes.map(|(c, of)| off(of.at(u), mean(runs, |t| t.classes[c].at(u)))).collect()
        };
        Errors {
            shares: (0..recorded.calls.len())
                .map(|b| off(recorded.share(b), mean(runs, |t| t.share(b))))
                .collect(),
            p50: quantile(0.5),
            p99: quantile(0.99),
            calls: recorded.counted as f64,
        }
    }
}

/// The figure that is furthest outside of its bound, if one is.
pub(super) fn fails(
    bounds: &Bounds,
    r: &RecordedTraffic,
    recorded: &Tally,
    runs: &[Tally],
) -> Option<Unsure> {
    let mut figures = Vec::new();
    for (b, listed) in r.backends.iter().enumerate() {
        let (was, now) = (recorded.share(b), mean(runs, |t| t.share(b)));
        let chance = CHANCE * (UNEVEN * was.max(now) / (recorded.counted as f64).max(1.0)).sqrt();
        figures.push((format!("share of {}", listed.host), was, now, bounds.share * was + chance));
    }
    for (c, name) in r.classes.iter().enumerate() {
        let of = &recorded.classes[c];
        for (label, u, part) in [("p50", 0.5, bounds.p50), ("p99", 0.99, bounds.p99)] {
            if of.served() >= LEAST {
                let (was, now) = (of.at(u), mean(runs, |t| t.classes[c].at(u)));
                figures.push((format!("{label} of {name}, ms"), was, now, part * was + of.chance(u)));
            }
        }
    }
    let over = |f: &(String, f64, f64, f64)| (f.2 - f.1).abs() / f.3.max(1e-9);
    let worst = figures.into_iter().filter(|f| over(f) > 1.0).max_by(|a, b| over(a).total_cmp(&over(b)));
    worst.map(|(figure, recorded, replayed, allowed)| Unsure::BackTest {
        figure,
        recorded,
        replayed,
        allowed,
    })
}
