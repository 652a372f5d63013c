//! Release of the concurrency slots of stalled calls while they are still in flight. Otherwise calls to a
//! hung endpoint would hold their slots until they time out and leave none for the other endpoints. Slots are
//! released on each tick for calls that have been in flight for long, and on an ejection for all calls of the
//! ejected endpoint.

use super::Balancer;
use super::class_latency::MIN_WINDOW_OUTCOMES;
use super::request::Attempt;
use crate::interface::BackendId;

/// Time for which a call counts against the limit, as a multiple of the mean latency: even of an exponential
/// distribution only 2 % of calls take longer.
const STALLED_AFTER_MEANS: f64 = 4.0;

impl Balancer {
    /// Releases, on a tick, the slots of calls that have been in flight for [`STALLED_AFTER_MEANS`] mean
    /// latencies, and drops endpoints without calls from the set of endpoints with calls.
    pub(super) fn release_stalled_calls(&mut self, now_ms: f64) {
        let endpoints = &self.endpoints;
        self.outliers
            .endpoints_with_calls
            .retain(|id| endpoints.get(id).is_some_and(|endpoint| !endpoint.calls.is_empty()));
        for id in self.outliers.endpoints_with_calls.clone() {
            self.release_stalled(now_ms, id, STALLED_AFTER_MEANS);
        }
    }

    /// Releases the slots of an endpoint's calls that have been in flight for at least `means` times the mean
    /// latency of their class, or its latency objective while too few samples are known.
    pub(super) fn release_stalled(&mut self, now_ms: f64, id: BackendId, means: f64) {
        for call in self.endpoints[&id].calls.clone() {
            let Some(request) = self.requests.get_mut(&call.request) else { continue };
            let (class, slice) = (request.class, request.slice);
            let latency = &self.concurrency_limit.classes[class];
            let unknown = latency.samples < MIN_WINDOW_OUTCOMES;
            let mean_ms = if unknown { latency.objective_ms } else { latency.mean_ms };
            if now_ms - call.sent_ms < means * mean_ms {
                continue;
            }
            let is_call = |a: &&mut Attempt| a.backend == id && a.sent_ms == call.sent_ms && a.in_flight;
            let attempt = request.attempts.iter_mut().find(is_call);
            if attempt.is_some_and(|attempt| std::mem::take(&mut attempt.holds_slot)) {
                self.release_slot(class, slice);
            }
        }
    }
}
