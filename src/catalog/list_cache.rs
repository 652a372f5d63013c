//! A cache of lists and deltas encoded as JSON.
//!
//! After a change or a start of the registry, thousands of proxies read the same list at the same version. The list is
//! encoded once, for the first of these calls, and cached until its service changes.

use super::{Catalog, ServiceName};
use bytes::Bytes;
use std::collections::HashMap;

/// Upper bound of the memory for the map entries of one cached list, in bytes, beyond its encoded length.
const LIST_OVERHEAD_BYTES: usize = 256;

/// Encoded lists of all services, with one bound on their total memory.
pub struct ListCache {
    max_bytes: usize,
    cached_bytes: usize,
    services: HashMap<ServiceName, ServiceLists>,
    /// Value of [`Catalog::dropped_version`] when the lists of dropped services were last removed from the cache.
    dropped_version: u64,
}

/// Encoded lists of one service at one version.
#[derive(Default)]
struct ServiceLists {
    version: u64,
    cached_bytes: usize,
    /// Encoded deltas by the version after which they list the changes; the key `None` holds the full list.
    by_after: HashMap<Option<u64>, Bytes>,
}

impl ListCache {
    /// Creates an empty cache. All lists together take at most `max_bytes`, each counted with its overhead.
    pub fn new(max_bytes: usize) -> ListCache {
        ListCache { max_bytes, cached_bytes: 0, services: HashMap::new(), dropped_version: 0 }
    }

    /// Returns the memory of the cached lists with their overhead, in bytes.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Returns the number of services with a cached list.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// Returns the list of a service as JSON: the changes after a version, or the full list if no version is given or
    /// some of the changes are no longer kept.
    pub fn get(
        &mut self,
        catalog: &Catalog,
        service: &ServiceName,
        after: Option<u64>,
    ) -> serde_json::Result<Bytes> {
        self.forget_dropped_services(catalog);
        let after = after.filter(|&version| catalog.has_all_changes_after(service, version));
        let version = catalog.version(service);
        if self.services.get(service).is_some_and(|lists| lists.version != version) {
            self.forget(service);
        }
        if let Some(list) = self.services.get(service).and_then(|lists| lists.by_after.get(&after)) {
            return Ok(list.clone());
        }
        let response = match after {
            Some(after) => catalog.changes_after(service, after),
            None => catalog.full_list(service),
        };
        let list = Bytes::from(serde_json::to_vec(&response)?);
        // Failure: reads of service names that do not exist would fill the cache. The list of such a name is empty
        // and cheap to encode, so it is not cached.
        if catalog.contains(service) {
            self.insert(service, version, after, &list);
        }
        Ok(list)
    }

    /// Removes the lists of a service that has changed.
    pub fn forget(&mut self, service: &ServiceName) {
        self.cached_bytes -= self.services.remove(service).map_or(0, |lists| lists.cached_bytes);
    }

    /// Caches a list. If it would exceed the bound, the cache is emptied first; lists that are still read are encoded
    /// again at their next read.
    fn insert(&mut self, service: &ServiceName, version: u64, after: Option<u64>, list: &Bytes) {
        let size = list.len() + LIST_OVERHEAD_BYTES;
        if size > self.max_bytes {
            return;
        }
        if self.cached_bytes + size > self.max_bytes {
            self.cached_bytes = 0;
            self.services = HashMap::new();
        }
        let lists = self.services.entry(service.clone()).or_default();
        lists.version = version;
        lists.by_after.insert(after, list.clone());
        lists.cached_bytes += size;
        self.cached_bytes += size;
    }

    /// Removes the lists of services that the catalog has dropped.
    fn forget_dropped_services(&mut self, catalog: &Catalog) {
        if self.dropped_version == catalog.dropped_version() {
            return;
        }
        self.dropped_version = catalog.dropped_version();
        self.services.retain(|service, _| catalog.contains(service));
        self.cached_bytes = self.services.values().map(|lists| lists.cached_bytes).sum();
    }
}
