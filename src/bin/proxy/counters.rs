//! The request counters for operators: the phase `account` of a request.
//!
//! Each request is counted once, when its [`RequestRecord`] is dropped at its end. An attempt is counted only if it
//! was written completely. Owns the counters of this process. Operators' scripts read their JSON keys, which must
//! not change.

use crate::refusals::{Refusals, Shortage};
use load_balancer::client::route_table::RequestTotals;
use load_balancer::interface::Census;
use serde_json::{Map, Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The category in which an ended request is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedAs {
    /// The client got a backend's response.
    Served,
    /// The request was rejected; the client can safely send it again.
    Rejected,
    /// The request ended in any other way.
    Failed,
}

/// The numbers of ended requests of one class, by category.
#[derive(Clone, Copy, Default)]
struct EndedCounts {
    served: u64,
    rejected: u64,
    failed: u64,
}

impl EndedCounts {
    fn add(&mut self, counted_as: CountedAs) {
        let count = match counted_as {
            CountedAs::Served => &mut self.served,
            CountedAs::Rejected => &mut self.rejected,
            CountedAs::Failed => &mut self.failed,
        };
        *count += 1;
    }
}

/// The counters of this process since its start.
pub struct Counters {
    classes: Vec<String>,
    /// The numbers of ended requests of each class.
    ended: RefCell<Vec<EndedCounts>>,
    in_flight: Cell<u64>,
    attempts: Rc<Cell<u64>>,
    refusals: Rc<Refusals>,
}

impl Counters {
    /// Creates counters for these classes, all at 0.
    pub fn new(classes: Vec<String>) -> Rc<Self> {
        let ended = RefCell::new(vec![EndedCounts::default(); classes.len()]);
        Rc::new(Counters {
            classes,
            ended,
            in_flight: Cell::default(),
            attempts: Rc::default(),
            refusals: Rc::default(),
        })
    }

    /// Returns the shared counter of completely written attempts, which the backend connections increment.
    pub fn attempts(&self) -> Rc<Cell<u64>> {
        self.attempts.clone()
    }

    /// Returns the shared counters of requests that are refused because the process lacks something.
    pub fn refusals(&self) -> Rc<Refusals> {
        self.refusals.clone()
    }

    /// Creates the record of a request of this class whose head was read.
    pub fn record(self: &Rc<Self>, class: usize) -> RequestRecord {
        RequestRecord { counters: self.clone(), class, is_complete: false, counted_as: None }
    }

    /// Returns the totals of all classes.
    pub fn totals(&self) -> RequestTotals {
        let ended = self.ended.borrow();
        let served: u64 = ended.iter().map(|counts| counts.served).sum();
        let rejected = ended.iter().map(|counts| counts.rejected).sum();
        let failed = ended.iter().map(|counts| counts.failed).sum();
        RequestTotals { requests: served + rejected + failed, refused: rejected, failed }
    }

    /// Returns the counters as the JSON object that operators read.
    pub fn page(&self, census: Census) -> Value {
        let ended = self.ended.borrow();
        let by_class = |count: fn(&EndedCounts) -> u64| -> Map<String, Value> {
            let counts = ended.iter().map(|counts| count(counts).into());
            self.classes.iter().cloned().zip(counts).collect()
        };
        json!({
            "served": by_class(|counts| counts.served),
            "refused": by_class(|counts| counts.rejected),
            "failed": by_class(|counts| counts.failed),
            "attempts": self.attempts.get(), "in_flight": self.in_flight.get(),
            "backends_known": census.listed, "backends_excluded": census.excluded,
            "refused_no_slot": self.refusals.get(Shortage::Slots),
            "refused_no_memory": self.refusals.get(Shortage::Memory),
            "refused_no_descriptor": self.refusals.get(Shortage::Descriptors),
        })
    }
}

/// The record of one request, which is counted when the record is dropped. Without a response, a complete request
/// counts as failed and an incomplete one is not counted.
pub struct RequestRecord {
    counters: Rc<Counters>,
    class: usize,
    is_complete: bool,
    counted_as: Option<CountedAs>,
}

impl RequestRecord {
    /// Marks the request as complete: from here on it is in flight until the record is dropped.
    pub fn complete(&mut self) {
        if !std::mem::replace(&mut self.is_complete, true) {
            self.counters.in_flight.update(|n| n + 1);
        }
    }

    /// Sets the category in which the request will be counted.
    pub fn count_as(&mut self, counted_as: CountedAs) {
        self.counted_as = Some(counted_as);
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        if self.is_complete {
            self.counters.in_flight.update(|n| n - 1);
        }
        if let Some(counted_as) = self.counted_as.or(self.is_complete.then_some(CountedAs::Failed)) {
            self.counters.ended.borrow_mut()[self.class].add(counted_as);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/counters.rs"]
mod tests;
