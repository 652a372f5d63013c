//! Recording of attempt outcomes: each attempt that ends updates the statistics of its endpoint, its zone and
//! the concurrency limit. The conditions for ejection and return are in `outlier_detection`.

use super::Balancer;
use super::class_latency::MAX_RELATIVE_LATENCY;
use super::endpoints::Call;
use super::outlier_detection::ERROR_SMOOTHING;
use crate::interface::*;

/// Lower bound of a mean latency (ms) used as a divisor.
const MIN_MEAN_MS: f64 = 0.001;

impl Balancer {
    /// Records the outcome of an attempt that was sent at `sent_ms`.
    ///
    /// An attempt that was cancelled after more than the mean latency counts as at least that slow for its
    /// endpoint and zone, but not for the concurrency limit, which silent backends would otherwise shrink.
    pub(super) fn record_outcome(&mut self, now_ms: f64, resolved: &Resolved, class: usize, sent_ms: f64) {
        let id = resolved.backend;
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let call = Call { request: resolved.request, sent_ms };
        if let Some(at) = endpoint.calls.iter().position(|&other| other == call) {
            endpoint.calls.remove(at);
        }
        let limit = &mut self.concurrency_limit;
        if matches!(resolved.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            endpoint.last_answer_ms = now_ms;
            self.outliers.last_answer_ms = now_ms;
        }
        match resolved.outcome {
            Outcome::Ok => {
                limit.record_answer();
                self.record_latency(now_ms, resolved, class);
            }
            Outcome::Cancelled if resolved.latency_ms > limit.classes[class].mean_ms => {
                self.record_latency(now_ms, resolved, class);
            }
            Outcome::Error => {
                limit.record_answer();
                self.record_failure(now_ms, id, false);
            }
            Outcome::Reset => self.record_failure(now_ms, id, false),
            Outcome::ConnectFailed => {
                // A failed connect indicates load only at an endpoint that is otherwise healthy; one that is
                // down says nothing about the load.
                if endpoint.error_rate < ERROR_SMOOTHING {
                    limit.record_drop();
                }
                self.record_failure(now_ms, id, true);
            }
            Outcome::Rejected => limit.record_drop(),
            Outcome::Timeout if !endpoint.ejected() => limit.record_timeout(),
            _ => {}
        }
    }

    /// Records the latency of a successful answer, or of a call that was cancelled late.
    fn record_latency(&mut self, now_ms: f64, resolved: &Resolved, class: usize) {
        let Some(endpoint) = self.endpoints.get_mut(&resolved.backend) else { return };
        let served = resolved.outcome == Outcome::Ok;
        let latency_ms = resolved.latency_ms;
        let limit = &mut self.concurrency_limit;
        if served {
            limit.record_served(class, latency_ms);
        }
        limit.record_mean(latency_ms);
        let class = &limit.classes[class];
        let excess_latency = (latency_ms - class.baseline_ms) / class.objective_ms;
        self.zone_spill.record(endpoint.entry.zone == self.settings.zone, excess_latency);
        let relative_latency = (latency_ms / class.mean_ms.max(MIN_MEAN_MS)).min(MAX_RELATIVE_LATENCY);
        self.outliers.record_latency(endpoint, relative_latency);
        if served {
            self.outliers.record_success(endpoint);
        }
        if served && endpoint.passes_trial(relative_latency) {
            endpoint.return_to_service(relative_latency);
            self.endpoint_set.update_degraded(resolved.backend, endpoint);
        } else if endpoint.is_too_slow(now_ms) {
            self.eject(now_ms, resolved.backend);
        }
    }

    /// Records a failed call; it may confirm a suspected removal or eject the endpoint.
    fn record_failure(&mut self, now_ms: f64, id: BackendId, connect_failed: bool) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        self.outliers.record_error(endpoint, connect_failed);
        if connect_failed && endpoint.confirms_removal() {
            endpoint.entry.phase = Phase::Gone;
            endpoint.unlisted_since_ms = None;
            self.endpoint_set.changed.insert(id);
            self.endpoint_set.suspected_removals.remove(&id);
        } else if self.outliers.has_too_many_errors(endpoint) {
            self.eject(now_ms, id);
        }
    }
}
