//! What the serving side reads of the state.

use super::wake::Wakers;
use crate::route_table::Host;
use crate::store::State;
use bytes::Bytes;
use load_balancer::catalog::{PageCache, ServiceName};
use std::sync::{Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard};

/// Bytes of lists that are kept made, over all services.
const MAX_PAGES: usize = 32 << 20;

/// What the serving side shares with the writer.
pub struct Shared {
    /// The state as it is on disk.
    pub state: RwLock<State>,
    /// The watches that wait, by their service.
    pub wakers: Arc<Wakers>,
    pages: Mutex<PageCache>,
    /// The route table, where it is hosted.
    pub routes: Option<Arc<Host>>,
}

impl Shared {
    /// Over a state as it was read from disk.
    pub fn new(state: State, routes: Option<Arc<Host>>) -> Self {
        let pages = Mutex::new(PageCache::new(MAX_PAGES));
        Shared { state: RwLock::new(state), wakers: Arc::default(), pages, routes }
    }

    /// The state, to be read.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(|p| p.into_inner())
    }

    /// A service's version.
    pub fn version(&self, service: &ServiceName) -> u64 {
        self.state().catalog.version(service)
    }

    /// The list of a service, or what changed after a version.
    pub fn page(&self, service: &ServiceName, after: Option<u64>) -> serde_json::Result<Bytes> {
        self.pages().get(&self.state().catalog, service, after)
    }

    /// For the writer: a service has changed, and is at this version.
    pub fn changed(&self, service: &ServiceName, version: u64) {
        self.pages().forget(service);
        self.wakers.wake(service, version);
    }

    fn pages(&self) -> MutexGuard<'_, PageCache> {
        self.pages.lock().unwrap_or_else(|p| p.into_inner())
    }
}
