//! The state of the list service as a sans-I/O core: the entries of every service, each at the version of its last
//! change.
//!
//! A [`Catalog`] applies changes in the order of their versions, which is one order for all services, and answers lists
//! and deltas of one service at a time. It has no clock, socket or disk: the registry assigns the versions, keeps the
//! log, writes [`CatalogSnapshot`] and determines when a TTL has expired.
//!
//! A deleted entry leaves a tombstone, so that a delta can report the deletion. The number of tombstones is bounded;
//! a watch whose delta would need a discarded tombstone gets the full list. A service exists as long as it has an
//! entry or a tombstone; reading the list of an unknown name creates nothing.

mod change;
mod entry;
mod history;
mod list_cache;
mod list_response;
mod name;
mod service;
mod snapshot;

pub use change::{Change, Update};
pub use entry::{Entry, EntryError, Health};
pub use history::MAX_GAPS;
pub use list_cache::ListCache;
pub use list_response::ListResponse;
pub use name::{ServiceName, ServiceNameError};
pub use snapshot::{CatalogSnapshot, ServiceSnapshot};

use history::History;
use service::Service;
use std::collections::{BTreeMap, HashMap};

/// The entries of all services, and the deletions since the horizon of each service.
pub struct Catalog {
    history: History,
    services: HashMap<ServiceName, Service>,
    /// Service of each tombstone, by the version of the deletion.
    tombstones: BTreeMap<u64, ServiceName>,
    max_tombstones: usize,
    /// Newest version of any service that was dropped: the horizon of every service that does not exist.
    dropped_version: u64,
}

impl Catalog {
    /// Creates an empty catalog that keeps at most `max_tombstones` deletions for deltas, over all services together.
    pub fn new(max_tombstones: usize) -> Catalog {
        Catalog {
            history: History::default(),
            services: HashMap::new(),
            tombstones: BTreeMap::new(),
            max_tombstones,
            dropped_version: 0,
        }
    }

    /// Returns the newest version of all services; the next change gets the one after it.
    pub fn newest(&self) -> u64 {
        self.history.newest()
    }

    /// Returns the version of a service's list: that of its newest change or of the last start, whichever is newer.
    /// For a service that does not exist, [`Catalog::dropped_version`] takes the place of the newest change.
    pub fn version(&self, service: &ServiceName) -> u64 {
        let own = self.services.get(service).map_or(self.dropped_version, Service::version);
        own.max(self.history.last_start())
    }

    /// Returns the version after which all changes of a service are kept. A watch with an older version gets the full
    /// list.
    pub fn horizon(&self, service: &ServiceName) -> u64 {
        let own = self.services.get(service).map_or(self.dropped_version, Service::horizon);
        own.max(self.history.horizon())
    }

    /// Returns the newest version of any service that was dropped, 0 if none was.
    pub fn dropped_version(&self) -> u64 {
        self.dropped_version
    }

    /// Returns true if a service exists, which means that it has an entry or a tombstone.
    pub fn contains(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the number of services that exist.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the number of entries of all services, without deleted ones.
    pub fn entry_count(&self) -> usize {
        self.services.values().map(Service::len).sum::<usize>() - self.tombstones.len()
    }

    /// Returns the number of version gaps that are kept, at most [`MAX_GAPS`].
    pub fn gap_count(&self) -> usize {
        self.history.gaps().len()
    }

    /// Returns the last change of an entry, which may be a deletion.
    pub fn get(&self, service: &ServiceName, host: &str) -> Option<&Change> {
        self.services.get(service)?.get(host)
    }

    /// Iterates over the entries of a service with their TTLs, without deleted ones.
    pub fn entries(&self, service: &ServiceName) -> impl Iterator<Item = &Change> {
        self.services.get(service).into_iter().flat_map(Service::live)
    }

    /// Iterates over the entries of all services with their TTLs, without deleted ones.
    pub fn all_entries(&self) -> impl Iterator<Item = (&ServiceName, &Change)> {
        self.services.iter().flat_map(|(name, service)| service.live().map(move |change| (name, change)))
    }

    /// Applies an update. A change that is not newer than all earlier ones has no effect; the log may repeat changes
    /// that the snapshot contains.
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

    /// Continues from version `seq`, for all services. The versions between the newest one and `seq` were never
    /// assigned or were lost; a watch with one of them gets the full list.
    pub fn start(&mut self, seq: u64) {
        self.history.start(seq);
    }

    /// Returns true if all changes of a service after a version are kept. They are not if the version is below the
    /// horizon, above the service's version or in a gap; in the last two cases the version belongs to a lost history.
    pub fn has_all_changes_after(&self, service: &ServiceName, after: u64) -> bool {
        let kept = self.horizon(service)..=self.version(service);
        kept.contains(&after) && !self.history.is_in_gap(after)
    }

    /// Returns the full list of a service.
    pub fn full_list(&self, service: &ServiceName) -> ListResponse<'_> {
        let hosts = self.services.get(service).map(Service::full_list).unwrap_or_default();
        ListResponse { seq: self.version(service), is_full_list: true, hosts }
    }

    /// Returns the changes of a service after a version, or its full list if some of them are no longer kept.
    pub fn changes_after(&self, service: &ServiceName, after: u64) -> ListResponse<'_> {
        if !self.has_all_changes_after(service, after) {
            return self.full_list(service);
        }
        let hosts =
            self.services.get(service).map(|service| service.changes_after(after)).unwrap_or_default();
        ListResponse { seq: self.version(service), is_full_list: false, hosts }
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

    /// Discards the oldest tombstones over all services until at most `max_tombstones` are left. The horizon of a
    /// service rises to each of its discarded tombstones. A service without entries is dropped with its last
    /// tombstone.
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
