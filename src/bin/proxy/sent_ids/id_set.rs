//! A set of ids that forgets the oldest.

use super::IdHash;
use std::collections::{HashMap, VecDeque};

/// At most as many ids as the capacity.
pub(super) struct IdSet {
    capacity: usize,
    /// Each id with the number of its insertion.
    ids: HashMap<IdHash, u64>,
    /// The insertions in their order, among them those of ids that were removed.
    order: VecDeque<(IdHash, u64)>,
    insertions: u64,
}

impl IdSet {
    /// Creates an empty set.
    pub(super) fn new(capacity: usize) -> Self {
        IdSet { capacity, ids: HashMap::new(), order: VecDeque::new(), insertions: 0 }
    }

    /// Returns the largest number of ids.
    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns whether an id is in the set.
    pub(super) fn contains(&self, id: IdHash) -> bool {
        self.ids.contains_key(&id)
    }

    /// Inserts an id, and forgets the oldest if there are too many. Returns false if the id was there.
    pub(super) fn insert(&mut self, id: IdHash) -> bool {
        if self.contains(id) {
            return false;
        }
        self.insertions += 1;
        self.ids.insert(id, self.insertions);
        self.order.push_back((id, self.insertions));
        while self.order.len() > self.capacity {
            self.forget_oldest();
        }
        true
    }

    /// Removes an id.
    pub(super) fn remove(&mut self, id: IdHash) {
        self.ids.remove(&id);
    }

    fn forget_oldest(&mut self) {
        let Some((id, insertion)) = self.order.pop_front() else { return };
        // One that was removed and inserted again is remembered by its later insertion.
        if self.ids.get(&id) == Some(&insertion) {
            self.ids.remove(&id);
        }
    }
}
