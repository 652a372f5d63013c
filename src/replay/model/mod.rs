//! The model of the backends, fitted to the records of all proxies.
//!
//! A call's latency is the latency between two zones, plus the product of its class's mean, its backend's speed, the load
//! curve at the fleet's calls in flight there, the condition of the backend at that time, and a random residual.

mod fit;
mod load;
mod zone_latency;

use super::AttemptOutcome;
use super::common_random_numbers::CommonRandomNumbers;
use super::conditions::{Condition, Conditions};
use super::failure::FAILURES;
use super::load_curve::LoadCurve;
use super::quantiles::Quantiles;

/// Index of [`AttemptOutcome::Rejected`] in [`FAILURES`].
const REJECTED: usize = 1;

/// Latency of one class at one backend, without load.
struct ClassLatency {
    mean_ms: f64,
    /// Index of the distribution of its residuals.
    residuals: usize,
}

/// A model of how the backends answer calls, fitted to the records.
pub(super) struct Model {
    classes: usize,
    /// Load curves by backend.
    load_curves: Vec<LoadCurve>,
    /// Latencies without load, by backend, then by class.
    latencies: Vec<ClassLatency>,
    /// Distributions of the residuals.
    residuals: Vec<Quantiles>,
    conditions: Conditions,
    /// Latency (ms) between the zones, by proxy, then by backend.
    zone_latency_ms: Vec<f64>,
    /// Calls in flight above which a backend rejects calls; infinite where it does not. By backend.
    rejects_from: Vec<f64>,
    /// Time (ms) after which calls fail, by kind of failure.
    failed_after_ms: Vec<Quantiles>,
    /// Maximum recorded number of calls in flight, by backend.
    pub(super) peak_in_flight: Vec<f64>,
    /// Median time (ms) from the end of a request's answered attempt to its own end, by class.
    pub(super) proxy_time_ms: Vec<f64>,
}

/// A call that is sent to a backend in the simulation.
pub(super) struct SimulatedCall {
    /// Index of the proxy.
    pub(super) proxy: usize,
    /// Index of the backend.
    pub(super) backend: usize,
    /// Index of the class.
    pub(super) class: usize,
    /// Calls of the fleet in flight at the backend, this one included.
    pub(super) in_flight: f64,
    /// Time (ms) from the start of the window.
    pub(super) at_ms: f64,
}

impl Model {
    /// Number of calls in flight at which a backend's capacity is reached; infinite where the records do not show it.
    pub(super) fn capacity(&self, backend: usize) -> f64 {
        self.load_curves[backend].capacity().min(self.rejects_from[backend])
    }

    /// Draws the outcome of a call and the time (ms) to its end. The outcome of a call that is never answered is
    /// `Timeout`.
    pub(super) fn answer(
        &self,
        call: &SimulatedCall,
        random: &mut CommonRandomNumbers,
    ) -> (AttemptOutcome, f64) {
        let zone_latency_ms = self.zone_latency_ms[call.proxy * self.peak_in_flight.len() + call.backend];
        let failure_draw = random.next_uniform();
        let latency_draw = random.next_uniform();
        if call.in_flight > self.rejects_from[call.backend] {
            return (
                AttemptOutcome::Rejected,
                self.failed_after_ms[REJECTED].at(latency_draw).max(zone_latency_ms),
            );
        }
        let condition: &Condition = self.conditions.at(call.backend, call.at_ms);
        if let Some(failure) =
            condition.cumulative_failure_rates.iter().position(|&below| failure_draw < below)
        {
            let after_ms = self.failed_after_ms[failure].at(latency_draw).max(zone_latency_ms);
            return (FAILURES[failure], after_ms);
        }
        let latency = &self.latencies[call.backend * self.classes + call.class];
        let load = self.load_curves[call.backend].relative_latency(call.in_flight);
        let residual = self.residuals[latency.residuals].at(latency_draw);
        (AttemptOutcome::Ok, zone_latency_ms + latency.mean_ms * condition.relative_latency * load * residual)
    }
}
