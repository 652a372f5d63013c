//! Wakes the waiting watches of a service when its list has changed.
//!
//! [`Wakers`] has one version channel per watched service, whether the service exists or not. The last watch of a
//! service removes the channel when it ends, so that watches of unknown names leave nothing in memory.

use load_balancer::catalog::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// The version channels of all watched services.
#[derive(Default)]
pub(crate) struct Wakers(Mutex<HashMap<ServiceName, watch::Sender<u64>>>);

impl Wakers {
    /// Starts a watch of a service. The watch sees every version that is set after this call. A caller that reads the
    /// version after this call and then waits for a newer one therefore misses no change.
    pub(crate) fn watch(self: &Arc<Self>, service: &ServiceName) -> VersionWatch {
        let versions = self.services().entry(service.clone()).or_default().subscribe();
        VersionWatch { wakers: self.clone(), service: service.clone(), versions }
    }

    /// Wakes the watches of a service with its new version.
    pub(crate) fn wake(&self, service: &ServiceName, version: u64) {
        if let Some(sender) = self.services().get(service) {
            sender.send_replace(version);
        }
    }

    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, watch::Sender<u64>>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// A watch of one service, which ends when it is dropped.
pub(crate) struct VersionWatch {
    wakers: Arc<Wakers>,
    service: ServiceName,
    versions: watch::Receiver<u64>,
}

impl VersionWatch {
    /// Waits until the service has a newer version than `version`.
    pub(crate) async fn wait_for_newer_than(&mut self, version: u64) {
        // This fails only if the sender is dropped; `wakers` keeps the sender for as long as this watch exists.
        let _ = self.versions.wait_for(|newest| *newest > version).await;
    }
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        let mut services = self.wakers.services();
        // The receiver count still includes this watch, and no other watch can subscribe while the lock is held.
        if services.get(&self.service).is_some_and(|sender| sender.receiver_count() <= 1) {
            services.remove(&self.service);
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/wake.rs"]
mod tests;
