//! The state machine of the route table, with the list of backends that its decisions are based on.

use crate::store::State;
use load_balancer::catalog::{Entry, ServiceName};
use load_balancer::route_table::{Backend, Control};

/// The state machine of the route table and the list of backends that it currently has.
pub(super) struct Decisions {
    /// State machine that makes the decisions.
    pub(super) control: Control,
    /// Listed backends, sorted by host.
    pub(super) backends: Vec<Backend>,
    /// Version of the list that `backends` was read from.
    pub(super) list_version: u64,
    /// Time of the next tick, Unix time in milliseconds.
    pub(super) next_tick_ms: u64,
}

impl Decisions {
    /// Wraps a state machine that has no list of backends yet.
    pub(super) fn new(control: Control) -> Decisions {
        Decisions { control, backends: Vec::new(), list_version: 0, next_tick_ms: 0 }
    }

    /// Updates the list of backends if it has changed. The route table belongs to the unnamed service, so this is the
    /// list of that service.
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
