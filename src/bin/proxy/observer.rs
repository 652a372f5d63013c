//! Observes the engine's backends and calls for route reports and recordings.
//!
//! Created only if `routes` or `record` is configured; the engine notifies it of each list, arrival, send and end.
//! Owns the route table in force, the calls counted since the last report, and the recording.

use crate::recorder::Recording;
use load_balancer::client::list::EndpointEntry;
use load_balancer::client::route_table::CallCounts;
use load_balancer::interface::{Arrival, AttemptNo, BackendId, Outcome, RequestId};
use load_balancer::replay::{Ending, Listed};
use load_balancer::route_table::{Revision, Weights};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// A backend's list entry, with the counts of its calls.
struct ObservedBackend {
    listed: Listed,
    call_counts: CallCounts,
    in_flight: u32,
    /// The weight that was last passed to the balancer.
    applied_weight: Option<f64>,
}

impl ObservedBackend {
    fn weight(&self, table: &Weights) -> f64 {
        table.of(&self.listed.host, &self.listed.class, &self.listed.zone)
    }
}

/// The observer of an engine, created only if route reports or recordings are configured.
pub struct Observer {
    backends: RefCell<HashMap<BackendId, ObservedBackend>>,
    table: RefCell<Weights>,
    list_version: Cell<u64>,
    has_unapplied: Cell<bool>,
    recording: OnceCell<Rc<Recording>>,
}

impl Observer {
    /// Creates an observer without backends.
    pub fn new() -> Rc<Self> {
        Rc::new(Observer {
            backends: RefCell::default(),
            table: RefCell::default(),
            list_version: Cell::default(),
            has_unapplied: Cell::default(),
            recording: OnceCell::new(),
        })
    }

    /// Starts recording all observed events, beginning with the current list.
    pub fn start_recording(&self, now_ms: f64, recording: Rc<Recording>) {
        let backends = self.backends.borrow();
        recording.list_applied(
            now_ms,
            self.list_version.get(),
            backends.iter().map(|(id, backend)| (*id, backend.listed.clone())),
        );
        // A second recording is ignored, since there is at most one.
        let _ = self.recording.set(recording);
    }

    /// Updates a backend from its list entry.
    pub fn backend_listed(&self, id: BackendId, host: &EndpointEntry) {
        let listed = Listed {
            host: host.name.clone(),
            class: host.class.clone(),
            zone: host.zone.clone(),
            share: host.weight.max(0.0),
        };
        let mut backends = self.backends.borrow_mut();
        let backend = match backends.entry(id) {
            Entry::Occupied(backend) => {
                let backend = backend.into_mut();
                backend.listed = listed;
                backend
            }
            Entry::Vacant(none) => none.insert(ObservedBackend {
                listed,
                call_counts: CallCounts::default(),
                in_flight: 0,
                applied_weight: None,
            }),
        };
        if backend.applied_weight != Some(backend.weight(&self.table.borrow())) {
            self.has_unapplied.set(true);
        }
    }

    /// Records that the balancer has applied list version `version`. A backend for which `known` is false is
    /// removed once its calls have ended and been reported.
    pub fn list_applied(&self, now_ms: f64, version: u64, known: impl Fn(BackendId) -> bool) {
        self.list_version.set(version);
        let is_removable = |id: BackendId, backend: &ObservedBackend| {
            !known(id) && backend.in_flight == 0 && backend.call_counts.calls == 0
        };
        self.backends.borrow_mut().retain(|id, backend| !is_removable(*id, backend));
        if let Some(recording) = self.recording.get() {
            let backends = self.backends.borrow();
            let known = backends.iter().filter(|(id, _)| known(**id));
            recording.list_applied(now_ms, version, known.map(|(id, backend)| (*id, backend.listed.clone())));
        }
    }

    /// Applies a new route table, and returns each backend's weight in it.
    pub fn apply_table(&self, now_ms: f64, revision: Revision, table: Weights) -> Vec<(BackendId, f64)> {
        if let Some(recording) = self.recording.get() {
            recording.table_applied(now_ms, revision);
        }
        *self.table.borrow_mut() = table;
        self.weights()
    }

    /// Returns each backend's weight in the route table.
    pub fn weights(&self) -> Vec<(BackendId, f64)> {
        let mut backends = self.backends.borrow_mut();
        let table = self.table.borrow();
        self.has_unapplied.set(false);
        let apply_weight = |(id, backend): (&BackendId, &mut ObservedBackend)| {
            let weight = backend.weight(&table);
            backend.applied_weight = Some(weight);
            (*id, weight)
        };
        backends.iter_mut().map(apply_weight).collect()
    }

    /// Returns whether a list or a route table has given a weight that was not passed to the balancer yet.
    pub fn has_unapplied_weights(&self) -> bool {
        self.has_unapplied.get() && self.table.borrow().iter().next().is_some()
    }

    /// Returns the digest of the weights in force, which is the table's own digest if they all agree with the table.
    pub fn digest(&self, in_force: &[(BackendId, f64)]) -> String {
        let backends = self.backends.borrow();
        let table = self.table.borrow();
        let find = |id: &BackendId| backends.get(id);
        let agrees = |(id, weight): &(BackendId, f64)| {
            find(id).is_none_or(|backend| backend.weight(&table) == *weight)
        };
        if in_force.iter().all(agrees) {
            return table.digest();
        }
        let named = in_force.iter().filter_map(|(id, weight)| Some((find(id)?.listed.host.clone(), *weight)));
        Weights { backends: named.collect(), ..Weights::default() }.digest()
    }

    /// Returns the backends' names by id.
    pub fn hosts(&self) -> HashMap<BackendId, String> {
        self.backends.borrow().iter().map(|(id, backend)| (*id, backend.listed.host.clone())).collect()
    }

    /// Returns the version of the list in use.
    pub fn list_version(&self) -> u64 {
        self.list_version.get()
    }

    /// Records the arrival of an admitted request.
    pub fn request_arrived(&self, now_ms: f64, id: &[u8], arrival: &Arrival, client_timeout: Duration) {
        if let Some(recording) = self.recording.get() {
            recording.request_arrived(now_ms, id, arrival, client_timeout);
        }
    }

    /// Counts and records the start of an attempt.
    pub fn attempt_sent(&self, now_ms: f64, request: RequestId, backend: BackendId) {
        let mut backends = self.backends.borrow_mut();
        let observed = backends.get_mut(&backend);
        if let Some(recording) = self.recording.get() {
            let in_flight = observed.as_ref().map_or(0, |observed| observed.in_flight);
            recording.attempt_sent(now_ms, request, backend, in_flight);
        }
        if let Some(observed) = observed {
            observed.call_counts.calls += 1;
            observed.in_flight += 1;
        }
    }

    /// Records an attempt that has a number but was not sent.
    pub fn attempt_not_sent(&self, now_ms: f64, request: RequestId, number: AttemptNo, backend: BackendId) {
        if let Some(recording) = self.recording.get() {
            recording.attempt_sent(now_ms, request, backend, 0);
            recording.attempt_ended(now_ms, request, number, Outcome::NotSent);
        }
    }

    /// Counts and records the end of an attempt.
    pub fn attempt_ended(
        &self,
        now_ms: f64,
        request: RequestId,
        number: AttemptNo,
        backend: BackendId,
        outcome: Outcome,
    ) {
        if let Some(recording) = self.recording.get() {
            recording.attempt_ended(now_ms, request, number, outcome);
        }
        if let Some(observed) = self.backends.borrow_mut().get_mut(&backend) {
            observed.in_flight = observed.in_flight.saturating_sub(1);
            let errors = [Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Reset];
            observed.call_counts.errors += u64::from(errors.contains(&outcome));
        }
    }

    /// Records the end of a request towards its client.
    pub fn request_ended(&self, now_ms: f64, request: RequestId, ending: Ending) {
        if let Some(recording) = self.recording.get() {
            recording.request_ended(now_ms, request, ending);
        }
    }

    /// Returns the calls counted since the last call of this function, by backend name, and resets the counts.
    pub fn drain_tallies(&self) -> BTreeMap<String, CallCounts> {
        let mut backends = self.backends.borrow_mut();
        backends
            .values_mut()
            .map(|backend| (backend.listed.host.clone(), std::mem::take(&mut backend.call_counts)))
            .collect()
    }
}
