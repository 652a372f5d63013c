//! The list of backends, as far as weights go.

use super::Backend;
use std::collections::HashMap;

/// The listed backends, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Backends {
    pub list: Vec<Backend>,
    by_name: HashMap<String, usize>,
}

impl Backends {
    /// Takes another list, if it is another.
    pub fn set(&mut self, listed: &[Backend]) {
        if self.list != listed {
            self.list = listed.to_vec();
            self.by_name = listed.iter().enumerate().map(|(n, b)| (b.host.clone(), n)).collect();
        }
    }

    pub fn get(&self, host: &str) -> Option<&Backend> {
        self.by_name.get(host).map(|n| &self.list[*n])
    }
}
