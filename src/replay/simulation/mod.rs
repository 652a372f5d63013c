//! The simulation: a discrete-event simulation of the recorded fleet under a route table.
//!
//! One decision module ([`Balancer`]) runs for each recorded proxy process, on a simulated clock (ms from the start of
//! the recorded window). Requests arrive as recorded, backends answer by the [`Model`]. The same records, weights and
//! seed give the same [`TrafficStatistics`].

mod arrivals;
mod calls;
mod events;
mod proxy;

use super::model::Model;
use super::recorded_traffic::RecordedTraffic;
use super::statistics::TrafficStatistics;
use crate::interface::{Action, BackendId};
use crate::{Balancer, backend_id};
use arrivals::SimulatedArrival;
use calls::InFlightAttempt;
use events::{EventKind, ScheduledEvent};
use proxy::SimulatedProxy;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Events between two checks whether the simulation is to stop.
const EVENTS_PER_STOP_CHECK: u64 = 4096;

/// The state of a request of the simulation.
#[derive(Clone, Default)]
struct PendingRequest {
    /// Whether the request has ended for its client.
    ended: bool,
    /// Number of attempts sent.
    attempts: u8,
    /// Number of attempts in flight.
    in_flight: u8,
    /// Whether the request is counted in [`SimulatedProxy::queued`].
    queued: bool,
}

/// A simulation of the fleet under one table with one seed.
pub(super) struct Simulation<'a> {
    records: &'a RecordedTraffic,
    model: &'a Model,
    seed: u64,
    proxies: Vec<SimulatedProxy>,
    /// Index of each backend in the records, by the id that the decision module knows it by.
    backend_indices: HashMap<BackendId, u32>,
    backend_ids: Vec<BackendId>,
    /// All arrivals, in the order of time; a request's id is its index here.
    arrivals: Vec<SimulatedArrival>,
    /// State of the requests, by request id.
    requests: Vec<PendingRequest>,
    attempts: Vec<InFlightAttempt>,
    /// Indices of ended attempts in `attempts`, which are reused.
    free_attempts: Vec<u32>,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far.
    scheduled: u64,
    /// Number of calls in flight, by backend.
    in_flight: Vec<u32>,
    /// Buffer for the actions of a decision module.
    actions: Vec<Action>,
    /// Number of requests that arrived and have not ended, plus the number of attempts in flight.
    unsettled: usize,
    statistics: TrafficStatistics,
}

impl<'a> Simulation<'a> {
    /// Starts the recorded proxies with the list and the weights, given by backend. The statistics leave out the first
    /// `warm_up_ms`.
    pub(super) fn new(
        records: &'a RecordedTraffic,
        model: &'a Model,
        weights: &[f64],
        seed: u64,
        warm_up_ms: f64,
    ) -> Simulation<'a> {
        let backend_ids = unique_backend_ids(records);
        let arrivals = arrivals::arrivals(records, seed);
        let mut simulation = Simulation {
            records,
            model,
            seed,
            proxies: Vec::with_capacity(records.proxies.len()),
            backend_indices: backend_ids.iter().copied().zip(0..).collect(),
            backend_ids,
            requests: vec![PendingRequest::default(); arrivals.len()],
            arrivals,
            attempts: Vec::new(),
            free_attempts: Vec::new(),
            event_queue: BinaryHeap::new(),
            scheduled: 0,
            in_flight: vec![0; records.backends.len()],
            actions: Vec::new(),
            unsettled: 0,
            statistics: TrafficStatistics::new(records.backends.len(), records.classes.len(), warm_up_ms),
        };
        for (index, recorded) in (0..).zip(&records.proxies) {
            // The merge of the records has dropped proxies with settings that the module refuses, so that none fails here.
            if let Ok(balancer) = Balancer::new(recorded.settings.clone(), seed ^ recorded.seed) {
                simulation.start_proxy(index, balancer, weights);
            }
        }
        simulation
    }

    /// Runs the simulation to its end; `None` if `stop` returns true. `stop` is called with the share of the arrivals that
    /// have happened.
    pub(super) fn run(mut self, stop: &dyn Fn(f64) -> bool) -> Option<TrafficStatistics> {
        let mut arrived = 0;
        let mut events = 0_u64;
        loop {
            events += 1;
            if events.is_multiple_of(EVENTS_PER_STOP_CHECK)
                && stop(arrived as f64 / self.arrivals.len() as f64)
            {
                return None;
            }
            let next_arrival = self.arrivals.get(arrived).map(|arrival| arrival.at_ms.to_bits());
            let next_event = self.event_queue.peek().map(|Reverse(event)| event.at_ms_bits);
            if let Some(arrival) = next_arrival
                && next_event.is_none_or(|event| arrival <= event)
            {
                self.request_arrives(arrived as u32);
                arrived += 1;
                continue;
            }
            // The decision modules set timers without end, so that the event queue never empties: the simulation ends with the
            // last request.
            if next_arrival.is_none() && self.unsettled == 0 {
                break;
            }
            let Some(Reverse(event)) = self.event_queue.pop() else { break };
            self.process(event);
        }
        self.statistics.sort();
        Some(self.statistics)
    }

    /// Adds an event to the queue. Times before the start count as the start.
    fn schedule(&mut self, at_ms: f64, kind: EventKind) {
        self.scheduled += 1;
        let at_ms_bits = at_ms.max(0.0).to_bits();
        self.event_queue.push(Reverse(ScheduledEvent { at_ms_bits, sequence: self.scheduled, kind }));
    }

    fn recorded(&self, request: u32) -> &'a super::recorded_traffic::RecordedRequest {
        &self.records.requests[self.arrivals[request as usize].recorded as usize]
    }
}

/// Ids of the recorded backends, in the order of the records. On a collision a backend gets the next free id.
fn unique_backend_ids(records: &RecordedTraffic) -> Vec<BackendId> {
    let mut ids: Vec<BackendId> = Vec::with_capacity(records.backends.len());
    let mut taken = std::collections::HashSet::new();
    for backend in &records.backends {
        let mut id = backend_id(&backend.host);
        while !taken.insert(id) {
            id = id.wrapping_add(1);
        }
        ids.push(id);
    }
    ids
}
