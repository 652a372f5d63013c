//! The state that the writer thread shares with the HTTP handlers. The writer changes it, the handlers read it.

use super::wake::Wakers;
use crate::route_table::RouteTableService;
use crate::store::State;
use bytes::Bytes;
use load_balancer::catalog::{ListCache, ServiceName};
use std::sync::{Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard};

/// Maximum memory of cached encoded lists over all services, in bytes.
const MAX_LIST_CACHE_BYTES: usize = 32 << 20;

/// The shared state. It always matches the disk: the writer applies a record only once it is synced.
pub(crate) struct Shared {
    /// State as it is on disk.
    pub(super) state: RwLock<State>,
    /// Waiting watches, by service.
    pub(crate) wakers: Arc<Wakers>,
    lists: Mutex<ListCache>,
    /// Route table service; `None` if this registry does not host the route table.
    pub(crate) route_table: Option<Arc<RouteTableService>>,
}

impl Shared {
    /// Creates the shared state from the state read from disk.
    pub(crate) fn new(state: State, route_table: Option<Arc<RouteTableService>>) -> Self {
        let lists = Mutex::new(ListCache::new(MAX_LIST_CACHE_BYTES));
        Shared { state: RwLock::new(state), wakers: Arc::default(), lists, route_table }
    }

    /// Locks the state for reading.
    pub(crate) fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the version of a service's list.
    pub(crate) fn version(&self, service: &ServiceName) -> u64 {
        self.state().catalog.version(service)
    }

    /// Returns the list of a service as JSON, or its changes after a version.
    pub(crate) fn encoded_list(
        &self,
        service: &ServiceName,
        after: Option<u64>,
    ) -> serde_json::Result<Bytes> {
        self.lists().get(&self.state().catalog, service, after)
    }

    /// Drops the cached lists of a service that has changed, and wakes its watches with its new version.
    pub(super) fn service_changed(&self, service: &ServiceName, version: u64) {
        self.lists().forget(service);
        self.wakers.wake(service, version);
    }

    fn lists(&self) -> MutexGuard<'_, ListCache> {
        self.lists.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
