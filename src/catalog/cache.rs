//! Lists as bytes, made once for all that ask the same at one version: after a change, or a start, thousands do.

use super::{Catalog, ServiceName};
use bytes::Bytes;
use std::collections::HashMap;

/// What keeping a list takes beside its bytes, at the most.
const OVERHEAD: usize = 256;

/// The lists of all services that are kept made, within one bound.
pub struct PageCache {
    max_bytes: usize,
    held: usize,
    services: HashMap<ServiceName, Made>,
    /// Where services were last dropped.
    dropped: u64,
}

/// The lists of one service at one version, by the version that they are after; none for the whole list.
#[derive(Default)]
struct Made {
    version: u64,
    held: usize,
    pages: HashMap<Option<u64>, Bytes>,
}

impl PageCache {
    /// Nothing yet. All lists together take at most `max_bytes`, each counted with what keeping it takes.
    pub fn new(max_bytes: usize) -> PageCache {
        PageCache { max_bytes, held: 0, services: HashMap::new(), dropped: 0 }
    }

    /// Bytes that are held, as they are counted.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Services of which a list is held.
    pub fn services(&self) -> usize {
        self.services.len()
    }

    /// The list of a service after a version, or the whole one, as JSON.
    pub fn get(
        &mut self,
        catalog: &Catalog,
        service: &ServiceName,
        after: Option<u64>,
    ) -> serde_json::Result<Bytes> {
        self.forget_dropped(catalog);
        let after = after.filter(|&version| catalog.knows(service, version));
        let version = catalog.version(service);
        if self.services.get(service).is_some_and(|made| made.version != version) {
            self.forget(service);
        }
        if let Some(page) = self.services.get(service).and_then(|made| made.pages.get(&after)) {
            return Ok(page.clone());
        }
        let page = after.map_or_else(|| catalog.whole(service), |after| catalog.since(service, after));
        let page = Bytes::from(serde_json::to_vec(&page)?);
        // One that does not exist is quickly made, and asking for it must leave nothing.
        if catalog.has(service) {
            self.keep(service, version, after, &page);
        }
        Ok(page)
    }

    /// The lists of a service go: it has changed.
    pub fn forget(&mut self, service: &ServiceName) {
        self.held -= self.services.remove(service).map_or(0, |made| made.held);
    }

    /// When the room is used up all that is held goes: what is asked for often is soon back.
    fn keep(&mut self, service: &ServiceName, version: u64, after: Option<u64>, page: &Bytes) {
        let size = page.len() + OVERHEAD;
        if size > self.max_bytes {
            return;
        }
        if self.held + size > self.max_bytes {
            (self.held, self.services) = (0, HashMap::new());
        }
        let made = self.services.entry(service.clone()).or_default();
        made.version = version;
        made.pages.insert(after, page.clone());
        made.held += size;
        self.held += size;
    }

    /// The lists of services that are no more go.
    fn forget_dropped(&mut self, catalog: &Catalog) {
        if std::mem::replace(&mut self.dropped, catalog.dropped()) == catalog.dropped() {
            return;
        }
        self.services.retain(|service, _| catalog.has(service));
        self.held = self.services.values().map(|made| made.held).sum();
    }
}
