//! The state of the list service as a sans-I/O core: the entries of every service, each at the version of its last
//! change.
//!
//! A [`Catalog`] is told changes in the order of their versions, which is one for all services, and answers lists and
//! deltas of one service at a time. It has no clock, socket or disk: its user gives the versions, keeps the log, writes
//! [`Saved`] as a snapshot and decides when a TTL has lapsed.
//!
//! A service exists as long as it has an entry or the tombstone of one. Asking for a name makes nothing.

mod cache;
mod change;
mod entry;
mod history;
mod name;
mod page;
mod saved;
mod service;

pub use cache::PageCache;
pub use change::{Change, Update};
pub use entry::{Entry, EntryError, Health};
pub use history::MAX_GAPS;
pub use name::{ServiceName, ServiceNameError};
pub use page::Page;
pub use saved::{Saved, SavedService};

use history::History;
use service::Service;
use std::collections::{BTreeMap, HashMap};

/// The entries of all services, and what has been deleted since the horizon of each.
pub struct Catalog {
    history: History,
    services: HashMap<ServiceName, Service>,
    /// Deleted entries of all services by the version of their deletion.
    tombstones: BTreeMap<u64, ServiceName>,
    max_tombstones: usize,
    /// The newest version of any service that was dropped: the horizon of every service that does not exist.
    dropped: u64,
}

impl Catalog {
    /// Nothing yet. At most `max_tombstones` deletions are kept for deltas, over all services together.
    pub fn new(max_tombstones: usize) -> Catalog {
        Catalog {
            history: History::default(),
            services: HashMap::new(),
            tombstones: BTreeMap::new(),
            max_tombstones,
            dropped: 0,
        }
    }

    /// The newest version of all services: the next change gets one above it.
    pub fn newest(&self) -> u64 {
        self.history.newest()
    }

    /// A service's own version: that of its newest change, or of the last start where that is newer. Of a service
    /// that does not exist, that of the newest one dropped.
    pub fn version(&self, service: &ServiceName) -> u64 {
        let own = self.services.get(service).map_or(self.dropped, Service::version);
        own.max(self.history.last_start())
    }

    /// Changes of a service after this version are all still known: a watch from an older one gets the whole list.
    pub fn horizon(&self, service: &ServiceName) -> u64 {
        let own = self.services.get(service).map_or(self.dropped, Service::horizon);
        own.max(self.history.horizon())
    }

    /// The newest version of any service that was dropped; 0 when none was.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Whether a service has an entry, or the tombstone of one.
    pub fn has(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Services that exist.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// Entries of all services that are not deleted.
    pub fn live(&self) -> usize {
        self.services.values().map(Service::len).sum::<usize>() - self.tombstones.len()
    }

    /// Gaps between two starts that are remembered.
    pub fn gaps(&self) -> usize {
        self.history.gaps()
    }

    /// The last change of an entry, deleted or not.
    pub fn get(&self, service: &ServiceName, host: &str) -> Option<&Change> {
        self.services.get(service)?.get(host)
    }

    /// The entries of a service that are not deleted, with their TTLs.
    pub fn entries(&self, service: &ServiceName) -> impl Iterator<Item = &Change> {
        self.services.get(service).into_iter().flat_map(Service::live)
    }

    /// The entries of all services that are not deleted, with their TTLs.
    pub fn all_entries(&self) -> impl Iterator<Item = (&ServiceName, &Change)> {
        self.services.iter().flat_map(|(name, service)| service.live().map(move |change| (name, change)))
    }

    /// Takes an update in. A change that is not newer than all before it is passed over, as when a log repeats what
    /// a snapshot holds.
    pub fn apply(&mut self, service: &ServiceName, update: Update) {
        match update {
            Update::Change(change) if self.history.advance(change.seq) => self.insert(service, change),
            Update::Change(_) => {}
            Update::Renewal { host, ttl_ms } => {
                if let Some(service) = self.services.get_mut(service) {
                    service.renew(&host, ttl_ms);
                }
            }
        }
        self.trim();
    }

    /// Versions go on from `seq`, also that of each service: none between the newest one and that was given out, or
    /// none that is still known.
    pub fn start(&mut self, seq: u64) {
        self.history.start(seq);
    }

    /// Whether all changes of a service after a version are known: it is not too old, nor of another history.
    pub fn knows(&self, service: &ServiceName, after: u64) -> bool {
        let told = self.horizon(service)..=self.version(service);
        told.contains(&after) && !self.history.lost(after)
    }

    /// The whole list of a service.
    pub fn whole(&self, service: &ServiceName) -> Page<'_> {
        let hosts = self.services.get(service).map(Service::whole).unwrap_or_default();
        Page { seq: self.version(service), whole: true, hosts }
    }

    /// What changed in a service after a version, or the whole list where that is not known.
    pub fn since(&self, service: &ServiceName, after: u64) -> Page<'_> {
        if !self.knows(service, after) {
            return self.whole(service);
        }
        let hosts = self.services.get(service).map(|service| service.since(after)).unwrap_or_default();
        Page { seq: self.version(service), whole: false, hosts }
    }

    fn insert(&mut self, name: &ServiceName, change: Change) {
        let dropped = self.dropped;
        let service = self.services.entry(name.clone()).or_insert_with(|| Service::new(dropped));
        let deleted = (change.entry.health == Health::Deleted).then_some(change.seq);
        if let Some(old) = service.insert(change) {
            self.tombstones.remove(&old.seq);
        }
        self.tombstones.extend(deleted.map(|seq| (seq, name.clone())));
    }

    /// Tombstones are kept for deltas only; the oldest of all services go first. The horizon of their service follows
    /// them, and the service goes with its last one.
    fn trim(&mut self) {
        while self.tombstones.len() > self.max_tombstones {
            let Some((seq, name)) = self.tombstones.pop_first() else { return };
            let Some(service) = self.services.get_mut(&name) else { continue };
            service.forget(seq);
            if service.len() == 0 {
                self.dropped = self.dropped.max(service.version());
                self.services.remove(&name);
            }
        }
    }
}
