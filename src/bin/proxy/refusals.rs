//! Counts the requests that are refused because the process lacks something, by what it lacks.

use std::cell::Cell;

/// What a process lacks for one more request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// A slot: as many client connections are served as the limits allow.
    Slots,
    /// Memory: for one more connection to a backend, or for more of a long request.
    Memory,
    /// A descriptor for one more connection to a backend.
    Descriptors,
}

/// The numbers of refused requests since the start of the process.
#[derive(Default)]
pub struct Refusals {
    slots: Cell<u64>,
    memory: Cell<u64>,
    descriptors: Cell<u64>,
}

impl Refusals {
    /// Counts `requests` that were refused for a shortage.
    pub fn add(&self, shortage: Shortage, requests: u64) {
        self.count(shortage).update(|count| count + requests);
    }

    /// Returns the number of requests that were refused for a shortage.
    pub fn get(&self, shortage: Shortage) -> u64 {
        self.count(shortage).get()
    }

    fn count(&self, shortage: Shortage) -> &Cell<u64> {
        match shortage {
            Shortage::Slots => &self.slots,
            Shortage::Memory => &self.memory,
            Shortage::Descriptors => &self.descriptors,
        }
    }
}
