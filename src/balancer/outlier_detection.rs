//! Outlier detection: ejects endpoints from service and returns them after a successful trial.
//!
//! An endpoint is ejected
//! - for errors, after a failed call: its error rate is over max(0.35, min(3 e, (1 + e) / 2)), where e is
//!   the error rate over all endpoints;
//! - for slowness, after an answer or a late cancellation: its mean relative latency is over 2.5, measured
//!   over more than eight samples;
//! - for a hang, on a tick: it has been silent while others answer for so long that eight answers were due.
//!
//! At most half of the endpoints are ejected, though one always may be: beyond that the cause is shared and
//! no single endpoint is at fault.
//!
//! An ejection lasts 2 s, doubled with each further ejection up to 16 s. Then the endpoint may get a trial:
//! one request at a time, of a class that may run twice. A successful answer with an error rate below 0.15
//! and a relative latency below 1.25 returns it to service. An error, a reset or a failed connect ejects it
//! again, as does a trial that is too slow or hangs; any other outcome leaves it ejected and due for the next
//! trial. Calls that were in flight at the ejection count alike: their failures prolong it, and their
//! successful answers may end it early.

use super::Balancer;
use super::endpoints::{Endpoint, Endpoints};
use crate::interface::*;
use std::collections::BTreeSet;

/// Weight of one outcome in an endpoint's error rate.
pub(super) const ERROR_SMOOTHING: f64 = 0.125;
/// Weight of a trial's success in the error rate of an ejected endpoint.
const TRIAL_ERROR_SMOOTHING: f64 = 0.5;
/// Weight of one outcome in the error rate over all endpoints.
const OVERALL_ERROR_SMOOTHING: f64 = 0.02;
/// Weight of a failed connect in an endpoint's error rate, as a multiple of any other error's weight.
const CONNECT_FAILURE_WEIGHT: f64 = 3.0;
/// Error rate above which an endpoint is ejected.
const EJECTION_ERROR_RATE: f64 = 0.35;
/// Multiple of the error rate over all endpoints that an ejected endpoint's own must exceed: below it the
/// fault is shared.
const EJECTION_ERROR_RATIO: f64 = 3.0;
/// Error rate below which a successful trial returns an endpoint to service.
const RETURN_ERROR_RATE: f64 = 0.15;
/// Relative latency above which an endpoint is ejected: an overloaded one recovers only without calls.
const EJECTION_RELATIVE_LATENCY: f64 = 2.5;
/// Relative latency of a trial below which an endpoint returns to service.
const RETURN_RELATIVE_LATENCY: f64 = EJECTION_RELATIVE_LATENCY / 2.0;
/// Number of measured answers that an ejection for slowness requires more than.
const MIN_SLOW_SAMPLES: f64 = 8.0;
/// Number of answers over which an endpoint's relative latency is averaged.
const RELATIVE_LATENCY_SAMPLES: f64 = 24.0;
/// Number of average answers assumed in advance of the measured ones, so that the first ones weigh little.
const PRIOR_SAMPLES: f64 = 4.0;
/// Number of standard errors above the median from which an endpoint counts as slower.
const SLOWER_Z_SCORE: f64 = 2.6;
/// Number of standard errors below the median from which an endpoint counts as faster.
const FASTER_Z_SCORE: f64 = 1.7;
/// Delay, in turns, of the fair turn of an endpoint that is almost significantly slower.
const SUSPECTED_SLOW_DELAY: f64 = 8.0;
/// Lower bound of the squared coefficient of variation of the latencies.
const MIN_CV_SQUARED: f64 = 0.04;
/// Number of answers over which the squared coefficient of variation is averaged.
const CV_SQUARED_SAMPLES: f64 = 200.0;
/// Duration (ms) of the first ejection.
const FIRST_EJECTION_MS: f64 = 2000.0;
/// Largest number of times that the ejection duration is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Largest share of the endpoints that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Number of expected answers that a silent endpoint must have missed to count as hung.
const HUNG_AFTER_MISSED_ANSWERS: f64 = 8.0;
/// Minimum silence of a hung endpoint, as a multiple of the mean latency.
const HUNG_MIN_SILENT_MEANS: f64 = 2.0;
/// Largest share of a hung endpoint's silence during which all endpoints may be silent: a longer common
/// silence means that this instance itself was paused.
const MAX_SHARED_SILENCE: f64 = 0.25;

/// Statistics over all endpoints that each endpoint is compared with.
pub(super) struct OutlierDetection {
    /// Error rate over all endpoints.
    pub(super) error_rate: f64,
    /// Time (ms) of the last answer from any endpoint.
    pub(super) last_answer_ms: f64,
    /// Median of the relative latencies in the subset; unlike the mean, it is not moved by one slow endpoint
    /// among few.
    median_relative_latency: f64,
    /// Whether the median must be recomputed.
    pub(super) median_outdated: bool,
    /// Squared coefficient of variation of the answers' latencies.
    latency_cv_squared: f64,
    /// Endpoints with calls in flight, including some whose last call ended since the last tick.
    pub(super) endpoints_with_calls: BTreeSet<BackendId>,
}

impl Endpoint {
    /// Returns whether the endpoint may get a trial: its ejection time is over and no call is in flight. Also
    /// true of an idle endpoint in service.
    pub(super) fn is_due_for_trial(&self, now_ms: f64) -> bool {
        now_ms >= self.ejected_until_ms && self.calls.is_empty()
    }

    /// Returns whether the last answer, to a trial or to a call from before the ejection, returns the
    /// endpoint to service.
    pub(super) fn passes_trial(&self, relative_latency: f64) -> bool {
        self.ejected() && self.error_rate < RETURN_ERROR_RATE && relative_latency < RETURN_RELATIVE_LATENCY
    }

    /// Returns the endpoint to service and restarts the measurement of its latency.
    pub(super) fn return_to_service(&mut self, relative_latency: f64) {
        self.ejected_until_ms = 0.0;
        self.ejections = 0;
        self.relative_latency = relative_latency;
        self.samples = 0.0;
    }

    /// Returns whether the endpoint is to be ejected for slowness.
    pub(super) fn is_too_slow(&self, now_ms: f64) -> bool {
        now_ms >= self.ejected_until_ms
            && self.relative_latency > EJECTION_RELATIVE_LATENCY
            && self.samples > MIN_SLOW_SAMPLES
    }
}

impl OutlierDetection {
    pub(super) fn new() -> Self {
        OutlierDetection {
            error_rate: 0.0,
            last_answer_ms: 0.0,
            median_relative_latency: 1.0,
            median_outdated: false,
            latency_cv_squared: 1.0,
            endpoints_with_calls: BTreeSet::new(),
        }
    }

    /// Returns the ratio of an endpoint's relative latency to the median.
    fn ratio_to_median(&self, endpoint: &Endpoint) -> f64 {
        endpoint.relative_latency / self.median_relative_latency
    }

    /// Returns the number of standard errors by which an endpoint's relative latency exceeds the median.
    fn z_score(&self, endpoint: &Endpoint) -> f64 {
        let variance = self.latency_cv_squared.max(MIN_CV_SQUARED) * endpoint.samples.max(1.0);
        let standard_error = variance.sqrt() / (endpoint.samples + PRIOR_SAMPLES);
        (self.ratio_to_median(endpoint) - 1.0) / standard_error
    }

    /// Returns the ratio of an endpoint's relative latency to the median, or 1 where the difference is not
    /// significant.
    pub(super) fn significant_relative_latency(&self, endpoint: &Endpoint) -> f64 {
        let by_chance = (-FASTER_Z_SCORE..=SLOWER_Z_SCORE).contains(&self.z_score(endpoint));
        if by_chance { 1.0 } else { self.ratio_to_median(endpoint) }
    }

    /// Returns the virtual time of an endpoint's fair turn. The turn is delayed by how likely the endpoint is
    /// to be slower: by the time the delay is made up for, more answers show whether it was chance.
    pub(super) fn fair_turn(&self, endpoint: &Endpoint) -> f64 {
        let suspicion = (self.z_score(endpoint) / SLOWER_Z_SCORE).clamp(0.0, 1.0);
        endpoint.virtual_finish + SUSPECTED_SLOW_DELAY * suspicion.powi(2)
    }

    /// Records a call's latency relative to the mean of its class.
    pub(super) fn record_latency(&mut self, endpoint: &mut Endpoint, relative_latency: f64) {
        let deviation = (relative_latency / endpoint.relative_latency - 1.0).powi(2);
        self.latency_cv_squared += (deviation - self.latency_cv_squared) / CV_SQUARED_SAMPLES;
        endpoint.samples = (endpoint.samples + 1.0).min(RELATIVE_LATENCY_SAMPLES);
        endpoint.relative_latency +=
            (relative_latency - endpoint.relative_latency) / (endpoint.samples + PRIOR_SAMPLES);
        self.median_outdated = true;
    }

    pub(super) fn record_success(&mut self, endpoint: &mut Endpoint) {
        self.error_rate -= self.error_rate * OVERALL_ERROR_SMOOTHING;
        let smoothing = if endpoint.ejected() { TRIAL_ERROR_SMOOTHING } else { ERROR_SMOOTHING };
        endpoint.error_rate -= endpoint.error_rate * smoothing;
    }

    /// Records a failed call; a failed connect weighs more.
    pub(super) fn record_error(&mut self, endpoint: &mut Endpoint, connect_failed: bool) {
        let weight = if connect_failed { CONNECT_FAILURE_WEIGHT } else { 1.0 };
        endpoint.error_rate += (1.0 - endpoint.error_rate) * ERROR_SMOOTHING * weight;
        self.error_rate += (1.0 - self.error_rate) * OVERALL_ERROR_SMOOTHING;
    }

    /// Returns whether an endpoint whose call failed is to be ejected, or ejected again. Where most calls
    /// fail, three times the overall error rate cannot be reached, so half-way from that rate to 1 is enough.
    pub(super) fn has_too_many_errors(&self, endpoint: &Endpoint) -> bool {
        let shared = (EJECTION_ERROR_RATIO * self.error_rate).min((1.0 + self.error_rate) / 2.0);
        endpoint.ejected() || endpoint.error_rate > shared.max(EJECTION_ERROR_RATE)
    }

    /// Recomputes the median if a latency or the subset has changed.
    pub(super) fn update_median(&mut self, subset: &[BackendId], endpoints: &Endpoints) {
        if !std::mem::take(&mut self.median_outdated) {
            return;
        }
        let mut latencies: Vec<f64> = subset.iter().map(|id| endpoints[id].relative_latency).collect();
        let middle = latencies.len() / 2;
        self.median_relative_latency = if latencies.is_empty() {
            1.0
        } else {
            *latencies.select_nth_unstable_by(middle, f64::total_cmp).1
        };
    }
}

impl Balancer {
    /// Ejects an endpoint, or prolongs its ejection, unless so many are ejected that the cause must be
    /// shared.
    pub(super) fn eject(&mut self, now_ms: f64, id: BackendId) {
        let ejected = self.endpoint_set.ejected_count() as f64;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let max_ejected = (self.endpoint_set.members.len() as f64 * MAX_EJECTED_SHARE).max(1.0);
        if !endpoint.ejected() && ejected + 1.0 > max_ejected {
            return;
        }
        let doublings = endpoint.ejections.min(MAX_EJECTION_DOUBLINGS);
        endpoint.ejected_until_ms = now_ms + FIRST_EJECTION_MS * f64::from(1 << doublings);
        endpoint.ejections += 1;
        self.endpoint_set.update_degraded(id, endpoint);
        self.release_stalled(now_ms, id, 0.0);
    }

    /// Returns whether an endpoint has been silent for too long while others answer.
    fn is_hung(&self, now_ms: f64, id: BackendId) -> bool {
        let Some(endpoint) = self.endpoints.get(&id) else { return false };
        let oldest_call_ms = endpoint.calls.front().map_or(now_ms, |call| call.sent_ms);
        let silence_ms = now_ms - endpoint.last_answer_ms.max(oldest_call_ms);
        let mean_ms = self.concurrency_limit.mean_ms;
        let missed =
            endpoint.calls.len() as f64 * silence_ms / (mean_ms * endpoint.relative_latency).max(1.0);
        let others_answer = now_ms - self.outliers.last_answer_ms < silence_ms * MAX_SHARED_SILENCE;
        missed > HUNG_AFTER_MISSED_ANSWERS
            && silence_ms > HUNG_MIN_SILENT_MEANS * mean_ms
            && others_answer
            && now_ms >= endpoint.ejected_until_ms
    }

    /// Ejects endpoints that stay silent while others answer.
    ///
    /// Guards against hung processes: they accept connections and never answer, so their calls hold slots
    /// until they time out. Inputs: the endpoint's calls in flight, its silence (ms), the mean latency (ms).
    /// By Little's law `in_flight * silence / latency` answers were due. A pause of this proxy itself
    /// silences all endpoints alike and ejects none. Endpoints are ejected in the subset's order, up to
    /// [`MAX_EJECTED_SHARE`].
    pub(super) fn eject_hung_endpoints(&mut self, now_ms: f64) {
        let with_calls = &self.outliers.endpoints_with_calls;
        let hung = with_calls.iter().filter(|id| self.is_hung(now_ms, **id));
        let mut hung: Vec<(usize, BackendId)> =
            hung.filter_map(|id| Some((self.subset_index(*id)?, *id))).collect();
        hung.sort_unstable();
        hung.into_iter().for_each(|(_, id)| self.eject(now_ms, id));
    }
}
