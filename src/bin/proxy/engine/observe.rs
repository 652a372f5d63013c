//! What the engine tells the observer, where there is one, and the weights that come back.

use super::Engine;
use hyper::header::HeaderValue;
use load_balancer::interface::{Arrival, BackendId, Event, Outcome, RequestId, TrafficShare};
use load_balancer::replay::Ending;
use load_balancer::route_table::{ExclusionReason, Revision, Weights};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Engine {
    /// Another table: each backend that is listed is weighed by it, now and after each change of the list.
    pub fn weigh(self: &Rc<Self>, revision: Revision, table: Weights) {
        if let Some(observer) = &self.observer {
            let weights = observer.weigh(self.now(), revision, table);
            self.tell(Event::RouteWeights { weights });
        }
    }

    /// Each backend's weight, as the module has it.
    pub fn in_force(&self) -> Vec<(BackendId, f64)> {
        self.state.borrow().balancer.weights().collect()
    }

    /// All that are listed, and why one gets less than its weight says.
    pub fn standings(&self) -> Vec<(BackendId, Option<ExclusionReason>)> {
        let why = |standing| match standing {
            TrafficShare::Full => None,
            TrafficShare::Ejected => Some(ExclusionReason::Ejected),
            TrafficShare::WarmingUp => Some(ExclusionReason::Cold),
            TrafficShare::Draining => Some(ExclusionReason::Draining),
            TrafficShare::OutsideSubset => Some(ExclusionReason::Subset),
            TrafficShare::Slow => Some(ExclusionReason::Slow),
        };
        let state = self.state.borrow();
        state.balancer.standings(self.now()).map(|(backend, standing)| (backend, why(standing))).collect()
    }

    /// Milliseconds of Unix time on a clock that only goes forward.
    pub fn now(&self) -> f64 {
        self.clock.at(Instant::now())
    }

    /// Those that a list names have their weights before the module hears of them.
    pub(super) fn weigh_newcomers(self: &Rc<Self>) {
        if let Some(observer) = self.observer.as_ref().filter(|observer| observer.untold()) {
            self.tell(Event::RouteWeights { weights: observer.weights() });
        }
    }

    pub(super) fn observe_list(&self, version: u64) {
        let Some(observer) = &self.observer else { return };
        let state = self.state.borrow();
        observer.keep(self.now(), version, |backend| state.balancer.lists(backend));
    }

    pub(super) fn observe_arrival(&self, id: Option<HeaderValue>, arrival: &Arrival, patience: Duration) {
        if let (Some(observer), Some(id)) = (&self.observer, id) {
            observer.arrived(self.now(), id.as_bytes(), arrival, patience);
        }
    }

    pub(super) fn observe_send(&self, request: RequestId, backend: BackendId) {
        if let Some(observer) = &self.observer {
            observer.sent(self.now(), request, backend);
        }
    }

    /// An attempt that was never sent has its number all the same.
    pub(super) fn observe_moot(&self, request: RequestId, number: usize, backend: BackendId) {
        if let Some(observer) = &self.observer {
            observer.moot(self.now(), request, number as u8, backend);
        }
    }

    pub(super) fn observe_reply(
        &self,
        request: RequestId,
        number: usize,
        backend: BackendId,
        outcome: Outcome,
    ) {
        if let Some(observer) = &self.observer {
            observer.replied(self.now(), request, number as u8, backend, outcome);
        }
    }

    pub(super) fn observe_end(&self, request: RequestId, ending: Ending) {
        if let Some(observer) = &self.observer {
            observer.ended(self.now(), request, ending);
        }
    }
}
