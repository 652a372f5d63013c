//! The times at which the TTLs of entries expire. They are kept in memory only: after a restart every entry gets its
//! full TTL again.

use super::records::{EntryId, Registration};
use crate::store::State;
use load_balancer::catalog::Health;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The expiry deadline of every listed entry of every service.
pub(super) struct Deadlines {
    by_id: HashMap<EntryId, Instant>,
    /// Lower bound of all deadlines: no entry expires before this time, so no scan is needed until then. It is too
    /// early if the entry that set it was renewed since.
    earliest: Option<Instant>,
}

impl Deadlines {
    /// Creates the deadlines of all entries read from disk, each with its full TTL from `now` on.
    pub(super) fn new(state: &State, now: Instant) -> Deadlines {
        let entries = state.catalog.all_entries().map(|(service, change)| {
            let id = EntryId { service: service.clone(), host: change.entry.host.clone() };
            (id, now + Duration::from_millis(change.ttl_ms))
        });
        let by_id: HashMap<_, _> = entries.collect();
        Deadlines { earliest: by_id.values().min().copied(), by_id }
    }

    /// Updates the deadline of an entry after its registration, renewal or deletion.
    pub(super) fn update(&mut self, registration: &Registration, now: Instant) {
        let id = registration.id();
        if registration.entry.health == Health::Deleted {
            self.by_id.remove(&id);
        } else {
            self.set(id, now + registration.ttl);
        }
    }

    /// Removes and returns the entries that were not renewed in time.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<EntryId> {
        if self.earliest.is_none_or(|earliest| now < earliest) {
            return Vec::new();
        }
        let expired = self.by_id.extract_if(|_, deadline| *deadline <= now).map(|(id, _)| id).collect();
        self.earliest = self.by_id.values().min().copied();
        expired
    }

    /// Schedules entries to expire again at a later time, after their deletion could not be written.
    pub(super) fn reschedule(&mut self, expired: Vec<EntryId>, at: Instant) {
        for id in expired {
            self.set(id, at);
        }
    }

    /// Postpones every deadline by the time in which the registry was stalled, since no entry could be renewed.
    pub(super) fn extend(&mut self, stalled: Duration) {
        for deadline in self.by_id.values_mut().chain(&mut self.earliest) {
            *deadline += stalled;
        }
    }

    fn set(&mut self, id: EntryId, deadline: Instant) {
        self.earliest = Some(self.earliest.map_or(deadline, |earliest| earliest.min(deadline)));
        self.by_id.insert(id, deadline);
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/deadlines.rs"]
mod tests;
