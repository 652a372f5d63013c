//! The endpoints that this instance knows of, by id, with what was measured of each.
//!
//! Tests can count how many records an event looks at: work for an event must not grow with the list.

use crate::interface::{BackendId, Entry, Phase, RequestId, Rules};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Index;

/// Weight of an endpoint to which the list gives none.
const MIN_WEIGHT: f64 = 0.01;

/// A call in flight at an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Call {
    pub(super) request: RequestId,
    pub(super) sent_ms: f64,
}

/// An endpoint: its entry in the list, and what its answers showed.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) entry: Entry,
    /// Calls of this instance in flight, the oldest first.
    pub(super) calls: VecDeque<Call>,
    pub(super) last_answer_ms: f64,
    /// Mean of its latencies, each over the mean of its class.
    pub(super) relative_latency: f64,
    /// Answers that `relative_latency` covers.
    pub(super) samples: f64,
    pub(super) error_rate: f64,
    /// From when on it may get a trial; 0 while it is in service.
    pub(super) ejected_until_ms: f64,
    /// Ejections since it was last returned to service.
    pub(super) ejections: u32,
    /// Sends that its warm-up budget allows; unused once it is warm.
    pub(super) warm_up_tokens: f64,
    /// Weight in the route table.
    pub(super) route_weight: f64,
    /// Virtual time of its next fair turn.
    pub(super) virtual_finish: f64,
    /// Since when the list lacks it without being believed.
    pub(super) unlisted_since_ms: Option<f64>,
}

impl Endpoint {
    pub(super) fn ejected(&self) -> bool {
        self.ejected_until_ms > 0.0
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.phase == Phase::Ready
    }

    pub(super) fn is_gone(&self) -> bool {
        self.entry.phase == Phase::Gone
    }

    /// Its weight among the endpoints: the list's times the route table's.
    pub(super) fn weight(&self) -> f64 {
        self.entry.weight.max(MIN_WEIGHT) * self.route_weight
    }

    /// Capacity that it has at least by now, as a share of its full one.
    pub(super) fn warm_up_fraction(&self, rules: &Rules, now_ms: f64) -> f64 {
        rules.warm_up_fraction(self.entry.started_at_ms, now_ms)
    }
}

/// The known endpoints, in the order of their ids.
#[derive(Default)]
pub(super) struct Endpoints {
    by_id: BTreeMap<BackendId, Endpoint>,
    #[cfg(test)]
    looked_at: std::cell::Cell<usize>,
}

impl Endpoints {
    #[cfg(test)]
    fn count(&self, records: usize) {
        self.looked_at.set(self.looked_at.get() + records);
    }
    #[cfg(not(test))]
    fn count(&self, _records: usize) {}

    /// How many records were looked at since the last call of this function.
    #[cfg(test)]
    pub(super) fn take_looked_at(&self) -> usize {
        self.looked_at.take()
    }

    pub(super) fn contains_key(&self, id: &BackendId) -> bool {
        self.count(1);
        self.by_id.contains_key(id)
    }

    pub(super) fn get(&self, id: &BackendId) -> Option<&Endpoint> {
        self.count(1);
        self.by_id.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &BackendId) -> Option<&mut Endpoint> {
        self.count(1);
        self.by_id.get_mut(id)
    }

    /// The record of an endpoint, made if there is none.
    pub(super) fn get_or_insert(&mut self, id: BackendId) -> &mut Endpoint {
        self.count(1);
        self.by_id.entry(id).or_default()
    }

    pub(super) fn remove(&mut self, id: &BackendId) {
        self.count(1);
        self.by_id.remove(id);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&BackendId, &Endpoint)> + Clone {
        self.count(self.by_id.len());
        self.by_id.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&BackendId, &mut Endpoint)> {
        self.count(self.by_id.len());
        self.by_id.iter_mut()
    }
}

impl Index<&BackendId> for Endpoints {
    type Output = Endpoint;

    fn index(&self, id: &BackendId) -> &Endpoint {
        self.count(1);
        &self.by_id[id]
    }
}
