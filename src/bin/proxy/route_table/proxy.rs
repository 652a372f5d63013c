//! This program as the proxy that a route table acts on.

use crate::counters::Counters;
use crate::engine::Engine;
use crate::observer::Observer;
use load_balancer::client::route_table::{CallCounts, RequestTotals, RoutedProxy};
use load_balancer::route_table::{ExclusionReason, Revision, Weights};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The engine, and what is counted about it.
pub(super) struct ObservedEngine {
    pub(super) engine: Rc<Engine>,
    pub(super) observer: Rc<Observer>,
    pub(super) counters: Rc<Counters>,
}

impl RoutedProxy for ObservedEngine {
    fn put_in_force(&self, revision: Revision, weights: Weights) {
        self.engine.weigh(revision, weights);
    }

    fn weights(&self) -> BTreeMap<String, f64> {
        let names = self.observer.names();
        let in_force = self.engine.in_force().into_iter();
        in_force.filter_map(|(id, weight)| Some((names.get(&id)?.clone(), weight))).collect()
    }

    fn digest(&self) -> String {
        self.observer.digest(&self.engine.in_force())
    }

    fn left_out(&self) -> BTreeMap<String, ExclusionReason> {
        let names = self.observer.names();
        let standings = self.engine.standings().into_iter();
        standings.filter_map(|(id, why)| Some((names.get(&id)?.clone(), why?))).collect()
    }

    fn list_version(&self) -> u64 {
        self.observer.list_version()
    }

    fn drain_calls(&self) -> BTreeMap<String, CallCounts> {
        self.observer.drain()
    }

    fn totals(&self) -> RequestTotals {
        self.counters.totals()
    }
}
