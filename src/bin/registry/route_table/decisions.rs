//! The library's decisions on the route table, with the list of backends that they rest on.

use crate::store::State;
use load_balancer::catalog::{Entry, ServiceName};
use load_balancer::route_table::{Backend, Control};

/// The decisions and what they rest on.
pub(super) struct Decisions {
    pub(super) control: Control,
    /// The listed backends, sorted by host.
    pub(super) backends: Vec<Backend>,
    /// The version of the list that `backends` is from.
    pub(super) list_version: u64,
    /// When the next tick is due, Unix time in milliseconds.
    pub(super) next_tick_ms: u64,
}

impl Decisions {
    /// Decisions that no list has been given to yet.
    pub(super) fn new(control: Control) -> Decisions {
        Decisions { control, backends: Vec::new(), list_version: 0, next_tick_ms: 0 }
    }

    /// Takes over the list of backends if it has changed. The table is for the unnamed service, so it is that one's list.
    pub(super) fn follow_list(&mut self, state: &State) {
        let service = ServiceName::default();
        let version = state.catalog.version(&service);
        if self.list_version == version {
            return;
        }
        self.list_version = version;
        let backend = |entry: &Entry| Backend {
            host: entry.host.clone(),
            class: entry.class.clone(),
            zone: entry.site.clone(),
            share: entry.share,
        };
        self.backends = state.catalog.entries(&service).map(|change| backend(&change.entry)).collect();
        self.backends.sort_by(|a, b| a.host.cmp(&b.host));
        self.control.update_backends(&self.backends);
    }
}
