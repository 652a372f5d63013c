//! When each entry lapses. In memory only: after a restart each has its TTL anew.

use super::records::{EntryId, Registration};
use crate::store::State;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use turnshift::catalog::Health;

/// The deadline of every entry of every service.
pub struct Deadlines(HashMap<EntryId, Instant>);

impl Deadlines {
    /// Of all that was read from disk, each with its whole TTL.
    pub fn new(state: &State, now: Instant) -> Deadlines {
        let deadline = |ttl_ms| now + Duration::from_millis(ttl_ms);
        let entries = state.catalog.all_entries().map(|(service, change)| {
            let id = EntryId { service: service.clone(), host: change.entry.host.clone() };
            (id, deadline(change.ttl_ms))
        });
        Deadlines(entries.collect())
    }

    /// An entry is registered, renewed or deleted.
    pub fn take(&mut self, registration: &Registration, now: Instant) {
        let id = registration.id();
        if registration.entry.health == Health::Deleted {
            self.0.remove(&id);
        } else {
            self.0.insert(id, now + registration.ttl);
        }
    }

    /// Those that were not renewed in time; they are taken out.
    pub fn lapsed(&mut self, now: Instant) -> Vec<EntryId> {
        self.0.extract_if(|_, deadline| *deadline <= now).map(|(id, _)| id).collect()
    }

    /// Lapses that could not be written are due again then.
    pub fn retry(&mut self, lapsed: Vec<EntryId>, at: Instant) {
        self.0.extend(lapsed.into_iter().map(|id| (id, at)));
    }

    /// The registry stood still: nobody could renew, so all TTLs are longer.
    pub fn extend(&mut self, by: Duration) {
        self.0.values_mut().for_each(|deadline| *deadline += by);
    }
}
