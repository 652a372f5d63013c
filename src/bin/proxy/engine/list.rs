//! Takes lists of backends from discovery's client and hands them to the decision module.
//!
//! Acts when a list or a change of it arrives, and when a call to discovery fails. The backends' addresses are in
//! [`State`], and what counts as in service is the module's decision.

use super::Engine;
use super::state::State;
use crate::upstream::Target;
use load_balancer::client::discovery::EndpointListener;
use load_balancer::client::list::{EndpointEntry, Health};
use load_balancer::interface::{BackendId, Census, Entry, Event, ListKind, Phase};
use std::cell::Cell;
use std::rc::Rc;
use tracing::{info, warn};

/// The engine as the receiver of discovery's lists.
pub struct ListedEngine(pub Rc<Engine>);

impl EndpointListener for ListedEngine {
    fn apply(&self, kind: ListKind, version: u64, hosts: Vec<EndpointEntry>) {
        self.0.apply_list(kind, version, hosts);
    }

    fn poll_failed(&self) {
        self.0.discovery_failed();
    }

    fn take_resync_request(&self) -> bool {
        self.0.take_resync_request()
    }
}

impl Engine {
    /// A list of backends, or changes to it, and the version that it leads to.
    pub fn apply_list(self: &Rc<Self>, kind: ListKind, version: u64, hosts: Vec<EndpointEntry>) {
        let entries = {
            let state = &mut *self.state.borrow_mut();
            hosts.into_iter().filter_map(|host| self.list_entry(state, host)).collect()
        };
        let unlisted_before = self.unlisted();
        self.apply_new_weights();
        self.handle_event(Event::List { kind, entries });
        self.state.borrow_mut().remove_unknown(kind);
        self.observe_list(version);
        if (unlisted_before == 0) == (self.unlisted() == 0) {
            return;
        }
        let Census { listed, unlisted, .. } = self.census();
        if unlisted > 0 {
            warn!("discovery: {unlisted} of {listed} backends stay in service though the list lacks them");
        } else {
            info!("discovery: the list is believed again, {listed} backends");
        }
    }

    /// How many backends stay in service though the list lacks them.
    fn unlisted(&self) -> usize {
        self.state.borrow().balancer.unlisted()
    }

    /// Whether the module wants the full list again; the request is cleared by this.
    pub fn take_resync_request(&self) -> bool {
        self.resync_requested.take()
    }

    /// A call to discovery failed.
    pub fn discovery_failed(self: &Rc<Self>) {
        self.watch_wanted.send_replace(false);
        self.handle_event(Event::List { kind: ListKind::Failed, entries: Vec::new() });
    }

    /// A backend of the list as the module knows it; `None` where its zone is unknown. A backend that takes work is
    /// reachable from here on.
    fn list_entry(&self, state: &mut State, host: EndpointEntry) -> Option<Entry> {
        let backend = state.id_of(&host.name);
        state.removal_candidates.insert(backend);
        let phase = match host.health {
            Health::Serving => Phase::Ready,
            Health::Draining => Phase::Draining,
            Health::Deleted => Phase::Gone,
        };
        let Some(zone) = self.zone_of(&host) else {
            if phase != Phase::Ready {
                // Wherever it is, it takes nothing new.
                return Some(Entry { backend, phase, ..Entry::default() });
            }
            warn!("discovery: {}: zone {:?} is unknown, passed over", host.name, host.zone);
            return None;
        };
        if let (Some(observer), Phase::Ready | Phase::Draining) = (&self.observer, phase) {
            observer.backend_listed(backend, &host);
        }
        // For those that drain or are gone the module decides what becomes of their connections.
        if phase == Phase::Ready {
            self.update_target(state, backend, &host);
        }
        Some(Entry {
            backend,
            phase,
            zone: zone as u16,
            started_at_ms: host.started_ms.max(0.0),
            weight: host.weight.max(0.0),
            cell: host.cell,
        })
    }

    /// Index of a backend's zone. Without zones every backend is in this proxy's own.
    fn zone_of(&self, host: &EndpointEntry) -> Option<usize> {
        let zones = &self.platform.site.zones;
        if zones.is_empty() {
            return Some(usize::from(self.platform.settings.zone));
        }
        zones.iter().position(|zone| *zone == host.zone)
    }

    /// Where a backend that takes work is reached.
    ///
    /// Guards against a request that is sent on a connection of the backend's previous process: where its machine fell
    /// silent such a connection still looks open, and the request would end as a reset, which may have run. So another
    /// address or start time makes another target, and closes the idle connections of the old one.
    fn update_target(&self, state: &mut State, backend: BackendId, host: &EndpointEntry) {
        let Some(address) = host.address else { return };
        let started_at_ms = host.started_ms;
        let unchanged = |target: &Rc<Target>| {
            target.address == address
                && target.started_at_ms == started_at_ms
                && target.drained_at.get().is_none()
        };
        if state.targets.get(&backend).is_some_and(unchanged) {
            return;
        }
        state.withdraw(backend, &self.pool);
        let target = Target { address, started_at_ms, drained_at: Cell::new(None) };
        state.targets.insert(backend, Rc::new(target));
    }
}
