//! The figures for operators: the phase `account` of a request.
//!
//! Each request is counted once, where it ends: when its [`RequestRecord`] is dropped. An attempt counts when it was written
//! completely; others never count. Owns the counts of this process. Their JSON keys are read by operators' scripts and do not
//! change.

use load_balancer::client::route_table::RequestTotals;
use load_balancer::interface::Census;
use serde_json::{Map, Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What a request counts as. The order is that of the counts of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedAs {
    /// Its client has a backend's response.
    Served,
    /// Rejected; the client may send it again without harm.
    Rejected,
    /// Anything else.
    Failed,
}

/// The figures of this process, from its start on.
pub struct Counters {
    classes: Vec<String>,
    /// Served, rejected and failed, for each class.
    ended: RefCell<Vec<[u64; 3]>>,
    in_flight: Cell<u64>,
    attempts: Rc<Cell<u64>>,
}

impl Counters {
    /// All at 0.
    pub fn new(classes: Vec<String>) -> Rc<Self> {
        let ended = RefCell::new(vec![[0; 3]; classes.len()]);
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
        let of = |counted_as: CountedAs| ended.iter().map(|n| n[counted_as as usize]).sum();
        let rejected = of(CountedAs::Rejected);
        let failed = of(CountedAs::Failed);
        RequestTotals { requests: of(CountedAs::Served) + rejected + failed, refused: rejected, failed }
    }

    /// The figures as operators read them.
    pub fn page(&self, census: Census) -> Value {
        let ended = self.ended.borrow();
        let of = |counted_as: CountedAs| -> Map<String, Value> {
            let counts = ended.iter().map(|n| n[counted_as as usize].into());
            self.classes.iter().cloned().zip(counts).collect()
        };
        json!({
            "served": of(CountedAs::Served), "refused": of(CountedAs::Rejected), "failed": of(CountedAs::Failed),
            "attempts": self.attempts.get(), "in_flight": self.in_flight.get(),
            "backends_known": census.listed, "backends_excluded": census.excluded,
        })
    }
}

/// A request, counted when this is dropped. Without a response one that was complete counts as failed; one that was not, and
/// had no response, is not counted.
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
            self.counters.ended.borrow_mut()[self.class][counted_as as usize] += 1;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/counters.rs"]
mod tests;
