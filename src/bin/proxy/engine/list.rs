//! Passes endpoint lists from the discovery client to the balancer.
//!
//! Runs when a list or a delta arrives, and when a call to discovery fails. The backends' addresses are in
//! [`State`]; the balancer decides which backends are in service.

use super::Engine;
use super::state::State;
use crate::upstream::Target;
use load_balancer::client::discovery::EndpointListener;
use load_balancer::client::list::{EndpointEntry, Health};
use load_balancer::interface::{BackendId, Census, Entry, Event, ListKind, Phase};
use std::cell::Cell;
use std::rc::Rc;
use tracing::{info, warn};

/// Adapter that applies the endpoint lists of the discovery client to an engine.
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
    /// Applies an endpoint list or a delta, which leads to list version `version`.
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

    /// Returns how many backends stay in service although they are missing from the list.
    fn unlisted(&self) -> usize {
        self.state.borrow().balancer.unlisted()
    }

    /// Returns whether the balancer requested a resync with the full list, and clears the request.
    pub fn take_resync_request(&self) -> bool {
        self.resync_requested.take()
    }

    /// Handles a failed call to discovery: stops the watch and notifies the balancer.
    pub fn discovery_failed(self: &Rc<Self>) {
        self.watch_wanted.send_replace(false);
        self.handle_event(Event::List { kind: ListKind::Failed, entries: Vec::new() });
    }

    /// Converts a backend of the list to a list entry for the balancer, `None` if its zone is unknown. Sets the
    /// target of a backend that is serving.
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
                // The zone does not matter for a backend that takes no new requests.
                return Some(Entry { backend, phase, ..Entry::default() });
            }
            warn!(
                "discovery: backend {}: zone {:?} is not in the settings; entry ignored",
                host.name, host.zone
            );
            return None;
        };
        if let (Some(observer), Phase::Ready | Phase::Draining) = (&self.observer, phase) {
            observer.backend_listed(backend, &host);
        }
        // The balancer decides what happens to the connections of backends that drain or are gone.
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

    /// Returns the index of a backend's zone. Without configured zones, every backend is in this proxy's zone.
    fn zone_of(&self, host: &EndpointEntry) -> Option<usize> {
        let zones = &self.platform.site.zones;
        if zones.is_empty() {
            return Some(usize::from(self.platform.settings.zone));
        }
        zones.iter().position(|zone| *zone == host.zone)
    }

    /// Sets the target of a backend that is serving.
    ///
    /// A changed address or start time creates a new target and closes the idle connections of the old one. If the
    /// machine of the backend's previous process stopped responding, a connection to that process still looks open;
    /// a request on it would end as a reset, after which it may have run.
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
