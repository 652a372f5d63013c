//! Wakes the watches of a service when it has changed.

use load_balancer::catalog::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// The services that somebody waits for. One is in it only as long as that, whether it exists or not.
#[derive(Default)]
pub struct Wakers(Mutex<HashMap<ServiceName, watch::Sender<u64>>>);

impl Wakers {
    /// Waits for a service's versions from now on: those that are newer than a version read after this call.
    pub fn wait(self: &Arc<Self>, service: &ServiceName) -> Waiting {
        let versions = self.services().entry(service.clone()).or_default().subscribe();
        Waiting { wakers: self.clone(), service: service.clone(), versions }
    }

    /// A service is at this version now.
    pub fn wake(&self, service: &ServiceName, version: u64) {
        if let Some(sender) = self.services().get(service) {
            sender.send_replace(version);
        }
    }

    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, watch::Sender<u64>>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// One watch that waits.
pub struct Waiting {
    wakers: Arc<Wakers>,
    service: ServiceName,
    versions: watch::Receiver<u64>,
}

impl Waiting {
    /// Until the service is at a newer version than this.
    pub async fn newer_than(&mut self, version: u64) {
        // The sender lives as long as this.
        let _ = self.versions.wait_for(|newest| *newest > version).await;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut services = self.wakers.services();
        // This one is still counted; nobody comes in while the lock is held.
        if services.get(&self.service).is_some_and(|sender| sender.receiver_count() <= 1) {
            services.remove(&self.service);
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/wake.rs"]
mod tests;
