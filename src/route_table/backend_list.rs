//! The list of backends as the route table needs it: name, class, zone and share of each, set by the host.

use super::Backend;
use std::collections::HashMap;

/// The listed backends, with an index by name.
#[derive(Clone, Debug, Default)]
pub(super) struct BackendList {
    /// The backends in the order of the list.
    pub list: Vec<Backend>,
    index_by_name: HashMap<String, usize>,
}

impl BackendList {
    /// Replaces the list and its index if the list differs.
    pub fn set(&mut self, listed: &[Backend]) {
        if self.list == listed {
            return;
        }
        self.list = listed.to_vec();
        self.index_by_name =
            listed.iter().enumerate().map(|(index, backend)| (backend.host.clone(), index)).collect();
    }

    /// Looks up a backend by its name.
    pub fn get(&self, host: &str) -> Option<&Backend> {
        self.index_by_name.get(host).map(|index| &self.list[*index])
    }
}
