//! The state that the writer thread shares with the serving side. The writer changes it, the serving side reads it.

use super::wake::Wakers;
use crate::route_table::RouteTableService;
use crate::store::State;
use bytes::Bytes;
use load_balancer::catalog::{PageCache, ServiceName};
use std::sync::{Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard};

/// Most bytes of encoded lists that are cached, over all services.
const MAX_PAGE_CACHE_BYTES: usize = 32 << 20;

/// The shared state. It always agrees with the disk: the writer applies a record only once it is synced.
pub(crate) struct Shared {
    /// The state as it is on disk.
    pub(super) state: RwLock<State>,
    /// The waiting watches, by their service.
    pub(crate) wakers: Arc<Wakers>,
    pages: Mutex<PageCache>,
    /// The route table, where this registry hosts it.
    pub(crate) route_table: Option<Arc<RouteTableService>>,
}

impl Shared {
    /// Shares a state as it was read from disk.
    pub(crate) fn new(state: State, route_table: Option<Arc<RouteTableService>>) -> Self {
        let pages = Mutex::new(PageCache::new(MAX_PAGE_CACHE_BYTES));
        Shared { state: RwLock::new(state), wakers: Arc::default(), pages, route_table }
    }

    /// Locks the state for reading.
    pub(crate) fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A service's version.
    pub(crate) fn version(&self, service: &ServiceName) -> u64 {
        self.state().catalog.version(service)
    }

    /// The list of a service as JSON, or what changed in it after a version.
    pub(crate) fn page(&self, service: &ServiceName, after: Option<u64>) -> serde_json::Result<Bytes> {
        self.pages().get(&self.state().catalog, service, after)
    }

    /// Drops the cached lists of a service that has changed, and wakes its watches with its new version.
    pub(super) fn changed(&self, service: &ServiceName, version: u64) {
        self.pages().forget(service);
        self.wakers.wake(service, version);
    }

    fn pages(&self) -> MutexGuard<'_, PageCache> {
        self.pages.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
