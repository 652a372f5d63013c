//! The state of the list service as a sans-I/O core: the entries of every service, each at the version of its last
//! change.
//!
//! A [`Catalog`] applies changes in the order of their versions, which is one order for all services, and answers lists
//! and deltas of one service at a time. It has no clock, socket or disk: the registry gives out the versions, keeps the
//! log, writes [`CatalogSnapshot`] and decides when a TTL is over.
//!
//! A deleted entry leaves a tombstone, so that a delta can say that it is gone. The number of tombstones is bounded; what
//! can no longer be answered as a delta is answered as the full list. A service exists as long as it has an entry or a
//! tombstone; asking for a name creates nothing.

mod change;
mod entry;
mod history;
mod name;
mod page;
mod page_cache;
mod service;
mod snapshot;

pub use change::{Change, Update};
pub use entry::{Entry, EntryError, Health};
pub use history::MAX_GAPS;
pub use name::{ServiceName, ServiceNameError};
pub use page::Page;
pub use page_cache::PageCache;
pub use snapshot::{CatalogSnapshot, ServiceSnapshot};

use history::History;
use service::Service;
use std::collections::{BTreeMap, HashMap};

/// The entries of all services, and what has been deleted since the horizon of each.
pub struct Catalog {
    history: History,
    services: HashMap<ServiceName, Service>,
    /// The services of all tombstones, by the version of the deletion.
    tombstones: BTreeMap<u64, ServiceName>,
    max_tombstones: usize,
    /// The newest version of any service that was dropped: the horizon of every service that does not exist.
    dropped_version: u64,
}

impl Catalog {
    /// An empty catalog. At most `max_tombstones` deletions are kept for deltas, over all services together.
    pub fn new(max_tombstones: usize) -> Catalog {
        Catalog {
            history: History::default(),
            services: HashMap::new(),
            tombstones: BTreeMap::new(),
            max_tombstones,
            dropped_version: 0,
        }
    }

    /// The newest version of all services; the next change gets one above it.
    pub fn newest(&self) -> u64 {
        self.history.newest()
    }

    /// A service's own version: that of its newest change, or of the last start where that is newer. Of a service
    /// that does not exist, that of the newest one dropped.
    pub fn version(&self, service: &ServiceName) -> u64 {
        let own = self.services.get(service).map_or(self.dropped_version, Service::version);
        own.max(self.history.last_start())
    }

    /// All changes of a service after this version are known; a watch from an older one gets the full list.
    pub fn horizon(&self, service: &ServiceName) -> u64 {
        let own = self.services.get(service).map_or(self.dropped_version, Service::horizon);
        own.max(self.history.horizon())
    }

    /// The newest version of any service that was dropped; 0 when none was.
    pub fn dropped_version(&self) -> u64 {
        self.dropped_version
    }

    /// Whether a service exists: it has an entry or a tombstone.
    pub fn contains(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Number of services that exist.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Number of entries of all services that are not deleted.
    pub fn entry_count(&self) -> usize {
        self.services.values().map(Service::len).sum::<usize>() - self.tombstones.len()
    }

    /// Number of gaps between two starts that are remembered.
    pub fn gap_count(&self) -> usize {
        self.history.gaps().len()
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

    /// Applies an update. A change that is not newer than all before it has no effect, as when a log repeats what a
    /// snapshot holds.
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
        self.drop_oldest_tombstones();
    }

    /// Continues from version `seq`, for all services. Versions between the newest one and `seq` were never given out, or
    /// were lost; a watch that holds one gets the full list.
    pub fn start(&mut self, seq: u64) {
        self.history.start(seq);
    }

    /// Whether all changes of a service after a version are known. They are not if the version is below the horizon, above
    /// the service's version, or in a gap: the last two are of a history that was lost.
    pub fn knows_changes_after(&self, service: &ServiceName, after: u64) -> bool {
        let known = self.horizon(service)..=self.version(service);
        known.contains(&after) && !self.history.is_in_gap(after)
    }

    /// The full list of a service.
    pub fn full_list(&self, service: &ServiceName) -> Page<'_> {
        let hosts = self.services.get(service).map(Service::full_list).unwrap_or_default();
        Page { seq: self.version(service), is_full_list: true, hosts }
    }

    /// The changes of a service after a version, or its full list where they are not all known.
    pub fn changes_after(&self, service: &ServiceName, after: u64) -> Page<'_> {
        if !self.knows_changes_after(service, after) {
            return self.full_list(service);
        }
        let hosts =
            self.services.get(service).map(|service| service.changes_after(after)).unwrap_or_default();
        Page { seq: self.version(service), is_full_list: false, hosts }
    }

    fn insert(&mut self, name: &ServiceName, change: Change) {
        let horizon = self.dropped_version;
        let service = self.services.entry(name.clone()).or_insert_with(|| Service::new(horizon));
        let tombstone = (change.entry.health == Health::Deleted).then_some(change.seq);
        if let Some(previous) = service.insert(change) {
            self.tombstones.remove(&previous.seq);
        }
        self.tombstones.extend(tombstone.map(|seq| (seq, name.clone())));
    }

    /// Keeps the tombstones within their bound. The oldest of all services go first; the horizon of their service rises
    /// with them, and a service is dropped with its last one.
    fn drop_oldest_tombstones(&mut self) {
        while self.tombstones.len() > self.max_tombstones {
            let Some((seq, name)) = self.tombstones.pop_first() else { return };
            let Some(service) = self.services.get_mut(&name) else { continue };
            service.remove_tombstone(seq);
            if service.len() == 0 {
                self.dropped_version = self.dropped_version.max(service.version());
                self.services.remove(&name);
            }
        }
    }
}
