//! The figures for operators: the phase `account` of a request.
//!
//! Each request is counted once, where it ends: when its [`RequestRecord`] is dropped. An attempt counts when it was
//! written completely; others never count. Owns the counts of this process. Their JSON keys are read by operators' scripts
//! and do not change.

use load_balancer::client::route_table::RequestTotals;
use load_balancer::interface::Census;
use serde_json::{Map, Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What a request counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedAs {
    /// Its client has a backend's response.
    Served,
    /// Rejected; the client may send it again without harm.
    Rejected,
    /// Anything else.
    Failed,
}

/// How many requests of a class ended, by what they count as.
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

/// The figures of this process, from its start on.
pub struct Counters {
    classes: Vec<String>,
    /// For each class.
    ended: RefCell<Vec<EndedCounts>>,
    in_flight: Cell<u64>,
    attempts: Rc<Cell<u64>>,
}

impl Counters {
    /// All at 0.
    pub fn new(classes: Vec<String>) -> Rc<Self> {
        let ended = RefCell::new(vec![EndedCounts::default(); classes.len()]);
        Rc::new(Counters { classes, ended, in_flight: Cell::default(), attempts: Rc::default() })
    }

    /// How many attempts were written completely; the connections that write them count here.
    pub fn attempts(&self) -> Rc<Cell<u64>> {
        self.attempts.clone()
    }

    /// A request of a class whose head was read.
    pub fn record(self: &Rc<Self>, class: usize) -> RequestRecord {
        RequestRecord { counters: self.clone(), class, is_complete: false, counted_as: None }
    }

    /// Of all classes together.
    pub fn totals(&self) -> RequestTotals {
        let ended = self.ended.borrow();
        let served: u64 = ended.iter().map(|counts| counts.served).sum();
        let rejected = ended.iter().map(|counts| counts.rejected).sum();
        let failed = ended.iter().map(|counts| counts.failed).sum();
        RequestTotals { requests: served + rejected + failed, refused: rejected, failed }
    }

    /// The figures as operators read them.
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
        })
    }
}

/// A request, counted when this is dropped. Without a response one that was complete counts as failed; one that was not,
/// and had no response, is not counted.
pub struct RequestRecord {
    counters: Rc<Counters>,
    class: usize,
    is_complete: bool,
    counted_as: Option<CountedAs>,
}

impl RequestRecord {
    /// Its last byte has arrived: a response is owed.
    pub fn complete(&mut self) {
        if !std::mem::replace(&mut self.is_complete, true) {
            self.counters.in_flight.update(|n| n + 1);
        }
    }

    /// What it counts as from now on.
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
