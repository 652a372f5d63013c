//! Fits the effects of the load of a backend: its load curve, and the load from which it rejects calls.

use super::fit::{Fit, Sum};
use crate::replay::AttemptOutcome;
use crate::replay::load_curve::{LoadCurve, LoadSample};
use crate::replay::quantiles::{Quantiles, median};
use std::collections::BTreeMap;

/// Calls from which a backend's own load curve is used if it has a slope.
const MIN_CALLS_FOR_OWN_CURVE: usize = 500;
/// Calls from which a backend's own load curve is used even if it is flat.
const MIN_CALLS_FOR_OWN_FLAT_CURVE: usize = 5000;
/// Maximum number of calls that a load curve is fitted to.
const MAX_CURVE_SAMPLES: usize = 20_000;
/// Rejected calls from which the load at which a backend rejects is known.
const MIN_REJECTED_CALLS: usize = 20;

impl Fit<'_> {
    /// Each backend's load curve: its own where it has enough calls, else that of all backends of its class and size.
    pub(super) fn load_curves(&self) -> Vec<LoadCurve> {
        let backends = &self.records.backends;
        let low_load_speeds: Vec<f64> =
            self.answered.iter().map(|calls| self.low_load_speed(calls)).collect();
        let machine = |backend: usize| (backends[backend].class.as_str(), backends[backend].share.to_bits());
        let mut calls_by_machine: BTreeMap<(&str, u64), Vec<usize>> = BTreeMap::new();
        for (backend, calls) in self.answered.iter().enumerate() {
            calls_by_machine.entry(machine(backend)).or_default().extend(calls);
        }
        let curves_by_machine: BTreeMap<(&str, u64), LoadCurve> = calls_by_machine
            .into_iter()
            .map(|(machine, calls)| (machine, self.load_curve(&calls, &low_load_speeds)))
            .collect();
        let curve = |(backend, calls): (usize, &Vec<usize>)| {
            if calls.len() >= MIN_CALLS_FOR_OWN_CURVE {
                let own = self.load_curve(calls, &low_load_speeds);
                if own != LoadCurve::FLAT || calls.len() >= MIN_CALLS_FOR_OWN_FLAT_CURVE {
                    return own;
                }
            }
            curves_by_machine[&machine(backend)]
        };
        self.answered.iter().enumerate().map(curve).collect()
    }

    /// A backend's relative latency over the half of its calls with the least load: over all, the many calls in flight
    /// at a slow backend would look like an effect of the load.
    fn low_load_speed(&self, calls: &[usize]) -> f64 {
        let median_load = median(calls.iter().map(|&call| self.in_flight[call]).collect());
        let low_load = calls.iter().filter(|&&call| self.in_flight[call] <= median_load);
        Sum::of(low_load.map(|&call| self.relative_latency(call))).shrunk_mean(1.0)
    }

    fn load_curve(&self, calls: &[usize], low_load_speeds: &[f64]) -> LoadCurve {
        let stride = calls.len().div_ceil(MAX_CURVE_SAMPLES).max(1);
        let sample = |&call: &usize| LoadSample {
            in_flight: self.in_flight[call],
            relative_latency: self.relative_latency(call)
                / low_load_speeds[self.records.calls[call].backend as usize],
        };
        LoadCurve::fit(&calls.iter().step_by(stride).map(sample).collect::<Vec<_>>())
    }

    /// Calls in flight above which each backend rejects calls; infinite where rejections do not come with load.
    pub(super) fn rejects_from(&self) -> Vec<f64> {
        let mut served = vec![Vec::new(); self.records.backends.len()];
        let mut rejected = vec![Vec::new(); self.records.backends.len()];
        for (call, &in_flight) in self.records.calls.iter().zip(&self.in_flight) {
            match call.outcome {
                AttemptOutcome::Rejected => rejected[call.backend as usize].push(in_flight),
                AttemptOutcome::Ok => served[call.backend as usize].push(in_flight),
                _ => {}
            }
        }
        let limit = |(served, rejected): (Vec<f64>, Vec<f64>)| {
            let enough = rejected.len() >= MIN_REJECTED_CALLS;
            let served = Quantiles::of(served);
            let rejected = Quantiles::of(rejected);
            if enough && rejected.at(0.5) > served.at(0.9) { rejected.at(0.25) } else { f64::INFINITY }
        };
        served.into_iter().zip(rejected).map(limit).collect()
    }
}
