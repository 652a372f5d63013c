//! The adapter through which the route table client acts on this program's engine.

use crate::counters::Counters;
use crate::engine::Engine;
use crate::observer::Observer;
use load_balancer::client::route_table::{CallCounts, RequestTotals, RoutedProxy};
use load_balancer::route_table::{ExclusionReason, Revision, Weights};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The engine together with the counts of its calls and requests.
pub(super) struct ObservedEngine {
    pub(super) engine: Rc<Engine>,
    pub(super) observer: Rc<Observer>,
    pub(super) counters: Rc<Counters>,
}

impl RoutedProxy for ObservedEngine {
    fn apply_table(&self, revision: Revision, weights: Weights) {
        self.engine.apply_route_table(revision, weights);
    }

    fn weights(&self) -> BTreeMap<String, f64> {
        let hosts = self.observer.hosts();
        let weights = self.engine.weights_in_force().into_iter();
        weights.filter_map(|(id, weight)| Some((hosts.get(&id)?.clone(), weight))).collect()
    }

    fn digest(&self) -> String {
        self.observer.digest(&self.engine.weights_in_force())
    }

    fn exclusions(&self) -> BTreeMap<String, ExclusionReason> {
        let hosts = self.observer.hosts();
        let reasons = self.engine.exclusion_reasons().into_iter();
        reasons.filter_map(|(id, reason)| Some((hosts.get(&id)?.clone(), reason?))).collect()
    }

    fn list_version(&self) -> u64 {
        self.observer.list_version()
    }

    fn take_call_counts(&self) -> BTreeMap<String, CallCounts> {
        self.observer.drain_tallies()
    }

    fn totals(&self) -> RequestTotals {
        self.counters.totals()
    }
}
