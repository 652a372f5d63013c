//! The list of backends as the engine takes it.

use super::Engine;
use super::state::State;
use crate::upstream::Target;
use load_balancer::client::discovery::EndpointListener;
use load_balancer::client::list::{EndpointEntry, Health};
use load_balancer::interface::{Census, Entry, Event, ListKind, Phase};
use std::cell::Cell;
use std::rc::Rc;
use tracing::{info, warn};

/// The engine as discovery's client knows it.
pub struct ListedEngine(pub Rc<Engine>);

impl EndpointListener for ListedEngine {
    fn apply(&self, kind: ListKind, version: u64, hosts: Vec<EndpointEntry>) {
        self.0.list(kind, version, hosts);
    }

    fn poll_failed(&self) {
        self.0.list_failed();
    }

    fn take_resync_request(&self) -> bool {
        self.0.wants_whole_list()
    }
}

impl Engine {
    /// A list of backends, or changes to it, and the version that it leads to.
    pub fn list(self: &Rc<Self>, kind: ListKind, version: u64, hosts: Vec<EndpointEntry>) {
        let entries = {
            let s = &mut *self.state.borrow_mut();
            hosts.into_iter().filter_map(|h| self.entry(s, h)).collect()
        };
        let before = self.unlisted();
        self.weigh_newcomers();
        self.tell(Event::List { kind, entries });
        self.state.borrow_mut().forget_gone(kind);
        self.observe_list(version);
        if (before == 0) == (self.unlisted() == 0) {
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

    /// Whether the whole list is wanted anew; asked once.
    pub fn wants_whole_list(&self) -> bool {
        self.relist.take()
    }

    /// A call to discovery failed.
    pub fn list_failed(self: &Rc<Self>) {
        self.watching.send_replace(false);
        self.tell(Event::List { kind: ListKind::Failed, entries: Vec::new() });
    }

    fn entry(&self, s: &mut State, h: EndpointEntry) -> Option<Entry> {
        let backend = s.id(&h.name);
        s.leaving.insert(backend);
        let phase = match h.health {
            Health::Serving => Phase::Ready,
            Health::Draining => Phase::Draining,
            Health::Deleted => Phase::Gone,
        };
        let zones = &self.facts.site.zones;
        // Without zones every backend is near.
        let alike = zones.is_empty().then_some(usize::from(self.facts.settings.zone));
        let Some(zone) = alike.or_else(|| zones.iter().position(|z| *z == h.zone)) else {
            if phase != Phase::Ready {
                // Wherever it is, it takes nothing new.
                return Some(Entry { backend, phase, ..Entry::default() });
            }
            warn!("discovery: {}: zone {:?} is unknown, passed over", h.name, h.zone);
            return None;
        };
        if let (Some(observer), Phase::Ready | Phase::Draining) = (&self.observer, phase) {
            observer.listed(backend, &h);
        }
        // The module says what becomes of those that the list has drain or gone.
        if let (Phase::Ready, Some(dial)) = (phase, h.address) {
            // A new process knows nothing of the old one's connections. Where its machine fell silent
            // they look open still, and a request on one would end as a reset, which may have run.
            let born_ms = h.started_ms;
            let same = |t: &Rc<Target>| t.dial == dial && t.born_ms == born_ms && t.drained.get().is_none();
            if !s.targets.get(&backend).is_some_and(same) {
                s.withdraw(backend, &self.pool);
                let target = Target { dial, born_ms, drained: Cell::new(None) };
                s.targets.insert(backend, Rc::new(target));
            }
        }
        let (zone, started_at, weight, cell) =
            (zone as u16, h.started_ms.max(0.0), h.weight.max(0.0), h.cell);
        Some(Entry { backend, phase, zone, started_at_ms: started_at, weight, cell })
    }
}
