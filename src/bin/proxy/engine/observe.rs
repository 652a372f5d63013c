//! Reports the engine's events to the observer, if there is one, and applies the weights of the route table.
//!
//! Runs on each arrival, send and end of a request, and when a route table or an endpoint list changes.

use super::Engine;
use hyper::header::HeaderValue;
use load_balancer::interface::{Arrival, BackendId, Event, Outcome, RequestId, TrafficShare};
use load_balancer::replay::Ending;
use load_balancer::route_table::{ExclusionReason, Revision, Weights};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Engine {
    /// Applies a new route table to the backends in the list, immediately and after each change of the list.
    pub fn apply_route_table(self: &Rc<Self>, revision: Revision, table: Weights) {
        if let Some(observer) = &self.observer {
            let weights = observer.apply_table(self.now_ms(), revision, table);
            self.handle_event(Event::RouteWeights { weights });
        }
    }

    /// Returns each backend's weight as the balancer applies it.
    pub fn weights_in_force(&self) -> Vec<(BackendId, f64)> {
        self.state.borrow().balancer.weights().collect()
    }

    /// Returns all backends in the list, each with the reason, if any, why it gets less traffic than its weight says.
    pub fn exclusion_reasons(&self) -> Vec<(BackendId, Option<ExclusionReason>)> {
        let reason = |share| match share {
            TrafficShare::Full => None,
            TrafficShare::Ejected => Some(ExclusionReason::Ejected),
            TrafficShare::WarmingUp => Some(ExclusionReason::Cold),
            TrafficShare::Draining => Some(ExclusionReason::Draining),
            TrafficShare::OutsideSubset => Some(ExclusionReason::Subset),
            TrafficShare::Slow => Some(ExclusionReason::Slow),
        };
        let state = self.state.borrow();
        state
            .balancer
            .traffic_shares(self.now_ms())
            .map(|(backend, share)| (backend, reason(share)))
            .collect()
    }

    /// Returns the current time in Unix milliseconds on a monotonic clock.
    pub fn now_ms(&self) -> f64 {
        self.clock.at(Instant::now())
    }

    /// Passes the weights of newly listed backends to the balancer before the list itself, so that no backend takes
    /// traffic with a weight that differs from the table's.
    pub(super) fn apply_new_weights(self: &Rc<Self>) {
        if let Some(observer) = self.observer.as_ref().filter(|observer| observer.has_unapplied_weights()) {
            self.handle_event(Event::RouteWeights { weights: observer.weights() });
        }
    }

    /// Reports that the balancer has applied list version `version`.
    pub(super) fn observe_list(&self, version: u64) {
        let Some(observer) = &self.observer else { return };
        let state = self.state.borrow();
        observer.list_applied(self.now_ms(), version, |backend| state.balancer.lists(backend));
    }

    /// Reports the arrival of an admitted request.
    pub(super) fn observe_arrival(
        &self,
        id: Option<HeaderValue>,
        arrival: &Arrival,
        client_timeout: Duration,
    ) {
        if let (Some(observer), Some(id)) = (&self.observer, id) {
            observer.request_arrived(self.now_ms(), id.as_bytes(), arrival, client_timeout);
        }
    }

    /// Reports the start of an attempt.
    pub(super) fn observe_send(&self, request: RequestId, backend: BackendId) {
        if let Some(observer) = &self.observer {
            observer.attempt_sent(self.now_ms(), request, backend);
        }
    }

    /// Reports an attempt that was not sent. It has a number, under which it appears in the recording.
    pub(super) fn observe_not_sent(&self, request: RequestId, number: usize, backend: BackendId) {
        if let Some(observer) = &self.observer {
            observer.attempt_not_sent(self.now_ms(), request, number as u8, backend);
        }
    }

    /// Reports the end of an attempt.
    pub(super) fn observe_reply(
        &self,
        request: RequestId,
        number: usize,
        backend: BackendId,
        outcome: Outcome,
    ) {
        if let Some(observer) = &self.observer {
            observer.attempt_ended(self.now_ms(), request, number as u8, backend, outcome);
        }
    }

    /// Reports the end of a request towards its client: the phase `account` for the recording.
    pub(super) fn observe_end(&self, request: RequestId, ending: Ending) {
        if let Some(observer) = &self.observer {
            observer.request_ended(self.now_ms(), request, ending);
        }
    }
}
