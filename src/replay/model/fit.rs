//! Fits the model to the records, one factor of the latency after the other: each is estimated from what the factors
//! before it leave.

use super::zone_latency::zone_latency_ms;
use super::{ClassLatency, Model};
use crate::replay::AttemptOutcome;
use crate::replay::calls_in_flight::calls_in_flight;
use crate::replay::conditions::Conditions;
use crate::replay::failure::FAILURES;
use crate::replay::load_curve::LoadCurve;
use crate::replay::quantiles::Quantiles;
use crate::replay::recorded_traffic::{RecordedCall, RecordedTraffic};

/// Calls at the mean of all that are added to a backend's own, so that few of these weigh little (shrinkage).
const PRIOR_CALLS: f64 = 8.0;
/// Calls of a class at a backend from which these have a residual distribution of their own.
const MIN_CALLS_FOR_OWN_RESIDUALS: usize = 400;
/// Minimum time (ms) of a call at its backend.
const MIN_WORK_MS: f64 = 0.01;

/// A sum and the number of its terms.
#[derive(Clone, Copy, Default)]
pub(super) struct Sum {
    count: f64,
    total: f64,
}

impl Sum {
    pub(super) fn of(values: impl Iterator<Item = f64>) -> Sum {
        let mut sum = Sum::default();
        values.for_each(|value| sum.add(value));
        sum
    }

    fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.total += value;
    }

    /// The mean; 1 without terms.
    fn mean_or_one(&self) -> f64 {
        if self.count > 0.0 { self.total / self.count } else { 1.0 }
    }

    /// The mean with [`PRIOR_CALLS`] terms at `prior` added.
    pub(super) fn shrunk_mean(&self, prior: f64) -> f64 {
        (self.total + PRIOR_CALLS * prior) / (self.count + PRIOR_CALLS)
    }
}

/// The records and the estimates made from them so far. Calls are identified by their index in the records.
pub(super) struct Fit<'a> {
    pub(super) records: &'a RecordedTraffic,
    /// The fleet's calls in flight at the backend of each call, by call.
    pub(super) in_flight: Vec<f64>,
    /// Latency (ms) between the zones, by proxy, then by backend.
    pub(super) zone_latency_ms: Vec<f64>,
    /// Mean time (ms) of a call at the backends, by class.
    pub(super) class_means_ms: Vec<f64>,
    /// Answered calls by backend.
    pub(super) answered: Vec<Vec<usize>>,
    /// Load curves by backend.
    pub(super) load_curves: Vec<LoadCurve>,
    /// Latency without load relative to the class's mean, by backend, then by class.
    pub(super) speeds: Vec<f64>,
}

impl Model {
    /// Fits a model to the records.
    pub(in crate::replay) fn fit(records: &RecordedTraffic) -> Model {
        let mut fit = Fit {
            records,
            in_flight: calls_in_flight(records),
            zone_latency_ms: zone_latency_ms(records),
            class_means_ms: Vec::new(),
            answered: vec![Vec::new(); records.backends.len()],
            load_curves: Vec::new(),
            speeds: Vec::new(),
        };
        fit.class_means_ms = fit.class_means_ms();
        for (index, call) in records.calls.iter().enumerate().filter(|(_, call)| call.is_answered()) {
            fit.answered[call.backend as usize].push(index);
        }
        fit.load_curves = fit.load_curves();
        fit.speeds = fit.speeds();
        let conditions = Conditions::of(records, |call| fit.residual(call));
        let (latencies, residuals) = fit.latencies();
        Model {
            classes: records.classes.len(),
            latencies,
            residuals,
            conditions,
            rejects_from: fit.rejects_from(),
            failed_after_ms: failed_after_ms(records),
            peak_in_flight: fit.peak_in_flight(),
            proxy_time_ms: proxy_time_ms(records),
            load_curves: fit.load_curves,
            zone_latency_ms: fit.zone_latency_ms,
        }
    }
}

impl Fit<'_> {
    /// Time (ms) of a call at its backend.
    fn work_ms(&self, call: &RecordedCall) -> f64 {
        let zones = call.proxy as usize * self.records.backends.len() + call.backend as usize;
        (call.wait_ms - self.zone_latency_ms[zones]).max(MIN_WORK_MS)
    }

    /// Index of a call's backend and class in `speeds`.
    fn backend_and_class(&self, call: usize) -> usize {
        let call = &self.records.calls[call];
        call.backend as usize * self.records.classes.len() + usize::from(call.class)
    }

    /// Latency of a call relative to the mean of its class.
    pub(super) fn relative_latency(&self, call: usize) -> f64 {
        let call = &self.records.calls[call];
        self.work_ms(call) / self.class_means_ms[usize::from(call.class)]
    }

    /// Latency of a call relative to the mean of its class, without the effect of the load.
    fn unloaded_latency(&self, call: usize) -> f64 {
        let curve = &self.load_curves[self.records.calls[call].backend as usize];
        self.relative_latency(call) / curve.relative_latency(self.in_flight[call])
    }

    /// The factor of a call's latency that class, backend and load do not explain.
    fn residual(&self, call: usize) -> f64 {
        self.unloaded_latency(call) / self.speeds[self.backend_and_class(call)]
    }

    fn all_answered(&self) -> impl Iterator<Item = usize> {
        self.answered.iter().flatten().copied()
    }

    fn class_means_ms(&self) -> Vec<f64> {
        let mut sums = vec![Sum::default(); self.records.classes.len()];
        for call in self.records.calls.iter().filter(|call| call.is_answered()) {
            sums[usize::from(call.class)].add(self.work_ms(call));
        }
        sums.iter().map(Sum::mean_or_one).collect()
    }

    /// Latency without load by backend and class, shrunk to that of the backend, and this to that of all.
    fn speeds(&self) -> Vec<f64> {
        let classes = self.records.classes.len();
        let mut sums = vec![Sum::default(); self.records.backends.len() * classes];
        for call in self.all_answered() {
            sums[self.backend_and_class(call)].add(self.unloaded_latency(call));
        }
        let overall = Sum::of(self.all_answered().map(|call| self.unloaded_latency(call))).mean_or_one();
        let mut speeds = Vec::with_capacity(sums.len());
        for sums_of_backend in sums.chunks(classes.max(1)) {
            let mut backend = Sum::default();
            for sum in sums_of_backend {
                backend.count += sum.count;
                backend.total += sum.total;
            }
            let speed = backend.shrunk_mean(overall);
            speeds.extend(sums_of_backend.iter().map(|sum| sum.shrunk_mean(speed)));
        }
        speeds
    }

    /// The latencies by backend and class, and the residual distributions: one for each class over all backends, then
    /// those of single backends with enough calls.
    fn latencies(&self) -> (Vec<ClassLatency>, Vec<Quantiles>) {
        let classes = self.records.classes.len();
        let mut by_class: Vec<Vec<f64>> = vec![Vec::new(); classes];
        let mut by_backend_and_class: Vec<Vec<f64>> = vec![Vec::new(); self.speeds.len()];
        for call in self.all_answered() {
            let residual = self.residual(call);
            by_class[usize::from(self.records.calls[call].class)].push(residual);
            by_backend_and_class[self.backend_and_class(call)].push(residual);
        }
        let mut distributions: Vec<Quantiles> = by_class.into_iter().map(Quantiles::of).collect();
        let mut latencies = Vec::with_capacity(self.speeds.len());
        for (index, own) in by_backend_and_class.into_iter().enumerate() {
            let class = index % classes.max(1);
            let mut residuals = class;
            if own.len() >= MIN_CALLS_FOR_OWN_RESIDUALS {
                residuals = distributions.len();
                distributions.push(Quantiles::of(own));
            }
            let mean_ms = self.class_means_ms[class] * self.speeds[index];
            latencies.push(ClassLatency { mean_ms, residuals });
        }
        (latencies, distributions)
    }

    fn peak_in_flight(&self) -> Vec<f64> {
        let mut peaks = vec![0.0_f64; self.records.backends.len()];
        for (call, &in_flight) in self.records.calls.iter().zip(&self.in_flight) {
            let peak = &mut peaks[call.backend as usize];
            *peak = peak.max(in_flight);
        }
        peaks
    }
}

fn failed_after_ms(records: &RecordedTraffic) -> Vec<Quantiles> {
    let waits = |failure: AttemptOutcome| {
        records.calls.iter().filter(move |call| call.outcome == failure).map(|call| call.wait_ms)
    };
    FAILURES.iter().map(|&failure| Quantiles::of(waits(failure).collect())).collect()
}

/// Median time (ms) from the end of a request's answered attempt to its own end, by class; 0 for a class
/// without answered requests.
fn proxy_time_ms(records: &RecordedTraffic) -> Vec<f64> {
    let mut times: Vec<Vec<f64>> = vec![Vec::new(); records.classes.len()];
    for request in &records.requests {
        times[usize::from(request.class)].extend(request.proxy_time_ms);
    }
    let median = |times: Vec<f64>| if times.is_empty() { 0.0 } else { Quantiles::of(times).at(0.5) };
    times.into_iter().map(median).collect()
}
