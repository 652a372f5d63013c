//! What operators are told in figures. Each request and each attempt is counted once, where it ends.

use load_balancer::client::route_table::RequestTotals;
use load_balancer::interface::Census;
use serde_json::{Map, Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Its client has a backend's answer.
    Served,
    /// Turned away; a further try is harmless.
    Refused,
    /// Anything else.
    Failed,
}

/// The figures of this process, from its start on.
pub struct Counters {
    classes: Vec<String>,
    /// Served, refused and failed, for each class.
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

    /// How many attempts have been written whole; whoever writes them counts here.
    pub fn attempts(&self) -> Rc<Cell<u64>> {
        self.attempts.clone()
    }

    /// A request of a class has come as far as its head.
    pub fn record(self: &Rc<Self>, class: usize) -> Record {
        Record { counters: self.clone(), class, taken: false, ending: None }
    }

    /// Of all classes together.
    pub fn totals(&self) -> RequestTotals {
        let ended = self.ended.borrow();
        let of = |ending: Ending| ended.iter().map(|n| n[ending as usize]).sum();
        let (refused, failed) = (of(Ending::Refused), of(Ending::Failed));
        RequestTotals { requests: of(Ending::Served) + refused + failed, refused, failed }
    }

    /// The figures as they are read out.
    pub fn page(&self, census: Census) -> Value {
        let ended = self.ended.borrow();
        let of = |ending: Ending| -> Map<String, Value> {
            let counts = ended.iter().map(|n| n[ending as usize].into());
            self.classes.iter().cloned().zip(counts).collect()
        };
        json!({
            "served": of(Ending::Served), "refused": of(Ending::Refused), "failed": of(Ending::Failed),
            "attempts": self.attempts.get(), "in_flight": self.in_flight.get(),
            "backends_known": census.listed, "backends_excluded": census.excluded,
        })
    }
}

/// A request; its end is counted when this is dropped. Unless told otherwise one that was taken has failed; one
/// that never came whole and was not answered is none.
pub struct Record {
    counters: Rc<Counters>,
    class: usize,
    taken: bool,
    ending: Option<Ending>,
}

impl Record {
    /// Its last byte has come: an answer is owed.
    pub fn taken(&mut self) {
        if !std::mem::replace(&mut self.taken, true) {
            self.counters.in_flight.update(|n| n + 1);
        }
    }

    /// What its end will be.
    pub fn ends(&mut self, ending: Ending) {
        self.ending = Some(ending);
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if self.taken {
            self.counters.in_flight.update(|n| n - 1);
        }
        if let Some(ending) = self.ending.or(self.taken.then_some(Ending::Failed)) {
            self.counters.ended.borrow_mut()[self.class][ending as usize] += 1;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/counters.rs"]
mod tests;
