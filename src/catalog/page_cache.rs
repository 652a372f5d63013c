//! A cache of encoded lists.
//!
//! After a change, or a start of the registry, thousands of proxies ask for the same list at the same version. The list
//! is encoded once, at the first of these calls, and kept until its service changes.

use super::{Catalog, ServiceName};
use bytes::Bytes;
use std::collections::HashMap;

/// Most bytes that a cached page takes in addition to its own, for the map entries.
const PAGE_OVERHEAD_BYTES: usize = 256;

/// The encoded lists of all services, within one bound on their memory.
pub struct PageCache {
    max_bytes: usize,
    cached_bytes: usize,
    services: HashMap<ServiceName, ServicePages>,
    /// The catalog's [`Catalog::dropped_version`] when the cache last removed the pages of dropped services.
    dropped_version: u64,
}

/// The encoded lists of one service at one version.
#[derive(Default)]
struct ServicePages {
    version: u64,
    cached_bytes: usize,
    /// By the version that the changes are after; `None` is the full list.
    by_after: HashMap<Option<u64>, Bytes>,
}

impl PageCache {
    /// An empty cache. All pages together take at most `max_bytes`, each counted with its overhead.
    pub fn new(max_bytes: usize) -> PageCache {
        PageCache { max_bytes, cached_bytes: 0, services: HashMap::new(), dropped_version: 0 }
    }

    /// Bytes of the cached pages with their overhead.
    pub fn cached_bytes(&self) -> usize {
        self.cached_bytes
    }

    /// Number of services of which a page is cached.
    pub fn service_count(&self) -> usize {
        self.services.len()
    }

    /// The list of a service as JSON: the changes after a version, or the full list where no version is given or its
    /// changes are not all known.
    pub fn get(
        &mut self,
        catalog: &Catalog,
        service: &ServiceName,
        after: Option<u64>,
    ) -> serde_json::Result<Bytes> {
        self.forget_dropped_services(catalog);
        let after = after.filter(|&version| catalog.knows_changes_after(service, version));
        let version = catalog.version(service);
        if self.services.get(service).is_some_and(|pages| pages.version != version) {
            self.forget(service);
        }
        if let Some(page) = self.services.get(service).and_then(|pages| pages.by_after.get(&after)) {
            return Ok(page.clone());
        }
        let page = match after {
            Some(after) => catalog.changes_after(service, after),
            None => catalog.full_list(service),
        };
        let page = Bytes::from(serde_json::to_vec(&page)?);
        // Failure: calls for names that do not exist fill the cache. The page of such a name is empty and quickly
        // encoded, so it is not kept.
        if catalog.contains(service) {
            self.insert(service, version, after, &page);
        }
        Ok(page)
    }

    /// Removes the pages of a service, after it has changed.
    pub fn forget(&mut self, service: &ServiceName) {
        self.cached_bytes -= self.services.remove(service).map_or(0, |pages| pages.cached_bytes);
    }

    /// Keeps a page. When the bound is reached the cache is emptied first; pages in demand are soon encoded again.
    fn insert(&mut self, service: &ServiceName, version: u64, after: Option<u64>, page: &Bytes) {
        let size = page.len() + PAGE_OVERHEAD_BYTES;
        if size > self.max_bytes {
            return;
        }
        if self.cached_bytes + size > self.max_bytes {
            self.cached_bytes = 0;
            self.services = HashMap::new();
        }
        let pages = self.services.entry(service.clone()).or_default();
        pages.version = version;
        pages.by_after.insert(after, page.clone());
        pages.cached_bytes += size;
        self.cached_bytes += size;
    }

    /// Removes the pages of services that the catalog has dropped.
    fn forget_dropped_services(&mut self, catalog: &Catalog) {
        if self.dropped_version == catalog.dropped_version() {
            return;
        }
        self.dropped_version = catalog.dropped_version();
        self.services.retain(|service, _| catalog.contains(service));
        self.cached_bytes = self.services.values().map(|pages| pages.cached_bytes).sum();
    }
}
