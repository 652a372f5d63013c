//! What the engine tells of its backends and calls, counted where they pass: for the reports, and for the recorder.

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

/// A backend as the list names it, and what went to it.
struct Place {
    listed: Listed,
    tally: CallCounts,
    in_flight: u32,
    /// The weight that the module was told.
    told: Option<f64>,
}

impl Place {
    fn weight(&self, table: &Weights) -> f64 {
        table.of(&self.listed.host, &self.listed.class, &self.listed.zone)
    }
}

/// Made only where something asks for it.
pub struct Observer {
    places: RefCell<HashMap<BackendId, Place>>,
    table: RefCell<Weights>,
    list_version: Cell<u64>,
    untold: Cell<bool>,
    recording: OnceCell<Rc<Recording>>,
}

impl Observer {
    /// Knows no backend yet.
    pub fn new() -> Rc<Self> {
        let (places, table, list_version) = (RefCell::default(), RefCell::default(), Cell::default());
        let (untold, recording) = (Cell::default(), OnceCell::new());
        Rc::new(Observer { places, table, list_version, untold, recording })
    }

    /// From now on all is recorded, too.
    pub fn record(&self, now: f64, recording: Rc<Recording>) {
        let places = self.places.borrow();
        recording.list(now, self.list_version.get(), places.iter().map(|(id, p)| (*id, p.listed.clone())));
        // It is asked for once.
        let _ = self.recording.set(recording);
    }

    /// The list names a backend.
    pub fn listed(&self, id: BackendId, host: &EndpointEntry) {
        let (class, zone, share) = (host.class.clone(), host.zone.clone(), host.weight.max(0.0));
        let listed = Listed { host: host.name.clone(), class, zone, share };
        let mut places = self.places.borrow_mut();
        let place = match places.entry(id) {
            Entry::Occupied(place) => {
                let place = place.into_mut();
                place.listed = listed;
                place
            }
            Entry::Vacant(none) => {
                none.insert(Place { listed, tally: CallCounts::default(), in_flight: 0, told: None })
            }
        };
        if place.told != Some(place.weight(&self.table.borrow())) {
            self.untold.set(true);
        }
    }

    /// A list has been taken: what the module no longer has is forgotten once its calls are over.
    pub fn keep(&self, now: f64, version: u64, known: impl Fn(BackendId) -> bool) {
        self.list_version.set(version);
        let gone =
            |id: BackendId, place: &Place| !known(id) && place.in_flight == 0 && place.tally.calls == 0;
        self.places.borrow_mut().retain(|id, place| !gone(*id, place));
        if let Some(recording) = self.recording.get() {
            let places = self.places.borrow();
            let known = places.iter().filter(|(id, _)| known(**id));
            recording.list(now, version, known.map(|(id, place)| (*id, place.listed.clone())));
        }
    }

    /// Another table; each backend's weight by it.
    pub fn weigh(&self, now: f64, revision: Revision, table: Weights) -> Vec<(BackendId, f64)> {
        if let Some(recording) = self.recording.get() {
            recording.table(now, revision);
        }
        *self.table.borrow_mut() = table;
        self.weights()
    }

    /// Each backend's weight by the table.
    pub fn weights(&self) -> Vec<(BackendId, f64)> {
        let (mut places, table) = (self.places.borrow_mut(), self.table.borrow());
        self.untold.set(false);
        let weigh = |(id, place): (&BackendId, &mut Place)| {
            let weight = place.weight(&table);
            place.told = Some(weight);
            (*id, weight)
        };
        places.iter_mut().map(weigh).collect()
    }

    /// Whether the module has yet to hear of a weight that a list or a table brought.
    pub fn untold(&self) -> bool {
        self.untold.get() && self.table.borrow().iter().next().is_some()
    }

    /// Digest of the weights in force: the table's if they are the table's.
    pub fn digest(&self, in_force: &[(BackendId, f64)]) -> String {
        let (places, table) = (self.places.borrow(), self.table.borrow());
        let of = |id: &BackendId| places.get(id);
        let same = |(id, weight): &(BackendId, f64)| of(id).is_none_or(|p| p.weight(&table) == *weight);
        if in_force.iter().all(same) {
            return table.digest();
        }
        let named = in_force.iter().filter_map(|(id, weight)| Some((of(id)?.listed.host.clone(), *weight)));
        Weights { backends: named.collect(), ..Weights::default() }.digest()
    }

    /// The backends' names.
    pub fn names(&self) -> HashMap<BackendId, String> {
        self.places.borrow().iter().map(|(id, place)| (*id, place.listed.host.clone())).collect()
    }

    /// Version of the list that is held.
    pub fn list_version(&self) -> u64 {
        self.list_version.get()
    }

    /// A request came.
    pub fn arrived(&self, now: f64, id: &[u8], arrival: &Arrival, patience: Duration) {
        if let Some(recording) = self.recording.get() {
            recording.arrived(now, id, arrival, patience);
        }
    }

    /// A call goes out.
    pub fn sent(&self, now: f64, request: RequestId, backend: BackendId) {
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(&backend);
        if let Some(recording) = self.recording.get() {
            recording.sent(now, request, backend, place.as_ref().map_or(0, |p| p.in_flight));
        }
        if let Some(place) = place {
            place.tally.calls += 1;
            place.in_flight += 1;
        }
    }

    /// A call that had a number was not sent.
    pub fn moot(&self, now: f64, request: RequestId, number: AttemptNo, backend: BackendId) {
        if let Some(recording) = self.recording.get() {
            recording.sent(now, request, backend, 0);
            recording.replied(now, request, number, Outcome::NotSent);
        }
    }

    /// A call is over.
    pub fn replied(
        &self,
        now: f64,
        request: RequestId,
        number: AttemptNo,
        backend: BackendId,
        outcome: Outcome,
    ) {
        if let Some(recording) = self.recording.get() {
            recording.replied(now, request, number, outcome);
        }
        if let Some(place) = self.places.borrow_mut().get_mut(&backend) {
            place.in_flight = place.in_flight.saturating_sub(1);
            let wrong = [Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed, Outcome::Reset];
            place.tally.errors += u64::from(wrong.contains(&outcome));
        }
    }

    /// A request is over for its client.
    pub fn ended(&self, now: f64, request: RequestId, ending: Ending) {
        if let Some(recording) = self.recording.get() {
            recording.ended(now, request, ending);
        }
    }

    /// The calls counted since the last time, by backend.
    pub fn drain(&self) -> BTreeMap<String, CallCounts> {
        let mut places = self.places.borrow_mut();
        places
            .values_mut()
            .map(|place| (place.listed.host.clone(), std::mem::take(&mut place.tally)))
            .collect()
    }
}
