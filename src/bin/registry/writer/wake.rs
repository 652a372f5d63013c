//! Wakes the waiting watches of a service when the service has changed.
//!
//! [`Wakers`] holds one version channel per service that somebody waits for, whether the service exists or not. The
//! last watch that goes removes its channel, so that names asked for leave nothing in memory.

use load_balancer::catalog::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// The version channels of the services that somebody waits for.
#[derive(Default)]
pub(crate) struct Wakers(Mutex<HashMap<ServiceName, watch::Sender<u64>>>);

impl Wakers {
    /// Starts a watch of a service. It sees every version set after this call, so that a version read after this call and
    /// then waited on misses no change in between.
    pub(crate) fn wait(self: &Arc<Self>, service: &ServiceName) -> VersionWatch {
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

/// One waiting watch. Dropping it ends the watch.
pub(crate) struct VersionWatch {
    wakers: Arc<Wakers>,
    service: ServiceName,
    versions: watch::Receiver<u64>,
}

impl VersionWatch {
    /// Waits until the service is at a newer version than this.
    pub(crate) async fn newer_than(&mut self, version: u64) {
        // This fails only if the sender is dropped, and the sender lives in `wakers` as long as this watch.
        let _ = self.versions.wait_for(|newest| *newest > version).await;
    }
}

impl Drop for VersionWatch {
    fn drop(&mut self) {
        let mut services = self.wakers.services();
        // This watch is still counted, and no other can subscribe while the lock is held.
        if services.get(&self.service).is_some_and(|sender| sender.receiver_count() <= 1) {
            services.remove(&self.service);
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/wake.rs"]
mod tests;
