//! When each entry lapses. In memory only: after a restart each has its TTL anew.

use super::records::{EntryId, Registration};
use crate::store::State;
use load_balancer::catalog::Health;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The deadline of every entry of every service.
pub struct Deadlines {
    by_id: HashMap<EntryId, Instant>,
    /// No deadline is before this: until then there is nothing to look for.
    earliest: Option<Instant>,
}

impl Deadlines {
    /// Of all that was read from disk, each with its whole TTL.
    pub fn new(state: &State, now: Instant) -> Deadlines {
        let deadline = |ttl_ms| now + Duration::from_millis(ttl_ms);
        let entries = state.catalog.all_entries().map(|(service, change)| {
            let id = EntryId { service: service.clone(), host: change.entry.host.clone() };
            (id, deadline(change.ttl_ms))
        });
        let by_id: HashMap<_, _> = entries.collect();
        Deadlines { earliest: by_id.values().min().copied(), by_id }
    }

    /// An entry is registered, renewed or deleted.
    pub fn take(&mut self, registration: &Registration, now: Instant) {
        let id = registration.id();
        if registration.entry.health == Health::Deleted {
            self.by_id.remove(&id);
        } else {
            self.set(id, now + registration.ttl);
        }
    }

    /// Those that were not renewed in time; they are taken out.
    pub fn lapsed(&mut self, now: Instant) -> Vec<EntryId> {
        if self.earliest.is_none_or(|earliest| now < earliest) {
            return Vec::new();
        }
        let lapsed = self.by_id.extract_if(|_, deadline| *deadline <= now).map(|(id, _)| id).collect();
        self.earliest = self.by_id.values().min().copied();
        lapsed
    }

    /// Lapses that could not be written are due again then.
    pub fn retry(&mut self, lapsed: Vec<EntryId>, at: Instant) {
        lapsed.into_iter().for_each(|id| self.set(id, at));
    }

    /// The registry stood still: nobody could renew, so all TTLs are longer.
    pub fn extend(&mut self, by: Duration) {
        self.by_id.values_mut().chain(&mut self.earliest).for_each(|deadline| *deadline += by);
    }

    fn set(&mut self, id: EntryId, deadline: Instant) {
        self.earliest = Some(self.earliest.map_or(deadline, |earliest| earliest.min(deadline)));
        self.by_id.insert(id, deadline);
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/deadlines.rs"]
mod tests;
