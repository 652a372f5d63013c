//! When the TTL of each entry is over. Kept in memory only: after a restart every entry gets its full TTL again.

use super::records::{EntryId, Registration};
use crate::store::State;
use load_balancer::catalog::Health;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The deadline of every listed entry of every service.
pub(super) struct Deadlines {
    by_id: HashMap<EntryId, Instant>,
    /// No deadline is before this time, so that nothing has to be looked for until then. It may be too early, after
    /// the entry that set it was renewed.
    earliest: Option<Instant>,
}

impl Deadlines {
    /// The deadlines of all entries read from disk, each with its full TTL from `now` on.
    pub(super) fn new(state: &State, now: Instant) -> Deadlines {
        let entries = state.catalog.all_entries().map(|(service, change)| {
            let id = EntryId { service: service.clone(), host: change.entry.host.clone() };
            (id, now + Duration::from_millis(change.ttl_ms))
        });
        let by_id: HashMap<_, _> = entries.collect();
        Deadlines { earliest: by_id.values().min().copied(), by_id }
    }

    /// Follows a registration, a renewal or a deletion.
    pub(super) fn take(&mut self, registration: &Registration, now: Instant) {
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

    /// Lets entries expire again at a time, after their end could not be written.
    pub(super) fn retry(&mut self, expired: Vec<EntryId>, at: Instant) {
        for id in expired {
            self.set(id, at);
        }
    }

    /// Moves every deadline back by the time in which the registry was stalled, since nobody could renew.
    pub(super) fn extend(&mut self, by: Duration) {
        for deadline in self.by_id.values_mut().chain(&mut self.earliest) {
            *deadline += by;
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
