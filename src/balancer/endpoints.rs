//! Records of the endpoints that this instance knows, by id, with the measurements of each. Tests count the
//! records that an event accesses, because the work for an event must not grow with the list.

use crate::interface::{BackendId, Entry, Phase, RequestId, Rules};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Index;

/// Lower bound of an endpoint's weight in the list, which also applies where the list gives none.
const MIN_WEIGHT: f64 = 0.01;

/// A call in flight at an endpoint.
#[derive(Clone, Copy, PartialEq)]
pub(super) struct Call {
    pub(super) request: RequestId,
    pub(super) sent_ms: f64,
}

/// An endpoint's list entry and the measurements from its answers.
#[derive(Default)]
pub(super) struct Endpoint {
    pub(super) entry: Entry,
    /// This instance's calls in flight, oldest first.
    pub(super) calls: VecDeque<Call>,
    pub(super) last_answer_ms: f64,
    /// Mean of the endpoint's latencies, each divided by the mean latency of its class.
    pub(super) relative_latency: f64,
    /// Number of answers that `relative_latency` averages over.
    pub(super) samples: f64,
    pub(super) error_rate: f64,
    /// Time (ms) from which an ejected endpoint may get a trial; 0 while the endpoint is in service.
    pub(super) ejected_until_ms: f64,
    /// Number of ejections since the endpoint was last returned to service.
    pub(super) ejections: u32,
    /// Number of sends that the warm-up budget allows; unused once the endpoint is warm.
    pub(super) warm_up_tokens: f64,
    /// Weight in the route table.
    pub(super) route_weight: f64,
    /// Virtual time of the endpoint's next fair turn.
    pub(super) virtual_finish: f64,
    /// Time (ms) since which the list has lacked the endpoint without its removal being confirmed.
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

    /// Returns the endpoint's effective weight: the list's times the route table's.
    pub(super) fn weight(&self) -> f64 {
        self.entry.weight.max(MIN_WEIGHT) * self.route_weight
    }

    /// Returns the minimum capacity that the endpoint has by now, as a share of its full capacity.
    pub(super) fn warm_up_fraction(&self, rules: &Rules, now_ms: f64) -> f64 {
        rules.warm_up_fraction(self.entry.started_at_ms, now_ms)
    }
}

/// Records of the known endpoints, in the order of their ids.
#[derive(Default)]
pub(super) struct Endpoints {
    by_id: BTreeMap<BackendId, Endpoint>,
    #[cfg(test)]
    accesses: std::cell::Cell<usize>,
}

impl Endpoints {
    #[cfg(test)]
    fn count_accesses(&self, records: usize) {
        self.accesses.set(self.accesses.get() + records);
    }
    #[cfg(not(test))]
    fn count_accesses(&self, _records: usize) {}

    /// Returns the number of records accessed since the last call of this function.
    #[cfg(test)]
    pub(super) fn take_access_count(&self) -> usize {
        self.accesses.take()
    }

    pub(super) fn contains_key(&self, id: &BackendId) -> bool {
        self.count_accesses(1);
        self.by_id.contains_key(id)
    }

    pub(super) fn get(&self, id: &BackendId) -> Option<&Endpoint> {
        self.count_accesses(1);
        self.by_id.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &BackendId) -> Option<&mut Endpoint> {
        self.count_accesses(1);
        self.by_id.get_mut(id)
    }

    /// Returns the record of an endpoint, creating it if there is none.
    pub(super) fn get_or_insert(&mut self, id: BackendId) -> &mut Endpoint {
        self.count_accesses(1);
        self.by_id.entry(id).or_default()
    }

    pub(super) fn remove(&mut self, id: &BackendId) {
        self.count_accesses(1);
        self.by_id.remove(id);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&BackendId, &Endpoint)> + Clone {
        self.count_accesses(self.by_id.len());
        self.by_id.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&BackendId, &mut Endpoint)> {
        self.count_accesses(self.by_id.len());
        self.by_id.iter_mut()
    }
}

impl Index<&BackendId> for Endpoints {
    type Output = Endpoint;

    fn index(&self, id: &BackendId) -> &Endpoint {
        self.count_accesses(1);
        &self.by_id[id]
    }
}
