//! The backends by their ids. Tests can count how many of their records an event looks at.

use super::state::Backend;
use crate::interface::BackendId;
use std::collections::BTreeMap;
use std::ops::Index;

/// The backends that a copy knows of, in the order of their ids.
#[derive(Default)]
pub struct Backends {
    by_id: BTreeMap<BackendId, Backend>,
    #[cfg(test)]
    looked_at: std::cell::Cell<usize>,
}

impl Backends {
    #[cfg(test)]
    fn count(&self, records: usize) {
        self.looked_at.set(self.looked_at.get() + records);
    }
    #[cfg(not(test))]
    fn count(&self, _records: usize) {}

    /// How many records were looked at since this was last asked.
    #[cfg(test)]
    pub fn take_looked_at(&self) -> usize {
        self.looked_at.take()
    }

    /// Whether a backend is known.
    pub fn contains_key(&self, id: &BackendId) -> bool {
        self.count(1);
        self.by_id.contains_key(id)
    }
    /// A backend's record.
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.count(1);
        self.by_id.get(id)
    }
    /// A backend's record, to be changed.
    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut Backend> {
        self.count(1);
        self.by_id.get_mut(id)
    }
    /// A backend's record, made if there is none.
    pub fn get_or_insert(&mut self, id: BackendId) -> &mut Backend {
        self.count(1);
        self.by_id.entry(id).or_default()
    }
    /// Forgets a backend.
    pub fn remove(&mut self, id: &BackendId) {
        self.count(1);
        self.by_id.remove(id);
    }
    /// All backends.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &Backend)> + Clone {
        self.count(self.by_id.len());
        self.by_id.iter()
    }
    /// All backends, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&BackendId, &mut Backend)> {
        self.count(self.by_id.len());
        self.by_id.iter_mut()
    }
}

impl Index<&BackendId> for Backends {
    type Output = Backend;

    fn index(&self, id: &BackendId) -> &Backend {
        self.count(1);
        &self.by_id[id]
    }
}
