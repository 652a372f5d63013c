//! Stalled calls: calls that hold no slot of the concurrency limit although they are in flight.
//!
//! Failure: calls to an endpoint that hangs would hold their slots until they time out, and leave none for
//! the others. It acts on each tick for calls that are in flight for long, and when an endpoint is ejected
//! for all of its calls.

use super::Balancer;
use super::concurrency_limit::MIN_WINDOW_OUTCOMES;
use super::request::Attempt;
use crate::interface::BackendId;

/// Mean latencies for which a call counts against the limit: even of an exponential distribution 2 % take
/// longer.
const STALLED_AFTER_MEANS: f64 = 4.0;

impl Balancer {
    /// On a tick, stops counting calls against the limit that are in flight for several mean latencies, and
    /// forgets which endpoints have no calls any more.
    pub(super) fn release_stalled_calls(&mut self, now_ms: f64) {
        let endpoints = &self.endpoints;
        self.outliers
            .endpoints_with_calls
            .retain(|id| endpoints.get(id).is_some_and(|endpoint| !endpoint.calls.is_empty()));
        for id in self.outliers.endpoints_with_calls.clone() {
            self.release_stalled(now_ms, id, STALLED_AFTER_MEANS);
        }
    }

    /// Calls of an endpoint that are in flight for so many means of their class hold no slot of the limit.
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
