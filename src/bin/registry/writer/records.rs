//! Turns registrations and expired entries into records, and assigns their versions.

use crate::store::{Record, State};
use load_balancer::catalog::{Change, Entry, Health, ServiceName, Update};
use std::collections::HashMap;
use std::time::Duration;

/// Identifies an entry among those of all services.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EntryId {
    /// Service of the entry.
    pub(super) service: ServiceName,
    /// Host name of the entry, unique in the service.
    pub(super) host: String,
}

/// An entry to be stored, or to be deleted if its health is `DELETED`.
pub(super) struct Registration {
    /// Service of the entry.
    pub(super) service: ServiceName,
    /// Entry with its new state; a `DELETED` one removes its host from the list.
    pub(super) entry: Entry,
    /// Time to live without a renewal.
    pub(super) ttl: Duration,
}

impl Registration {
    /// Returns the identity of the entry.
    pub(super) fn id(&self) -> EntryId {
        EntryId { service: self.service.clone(), host: self.entry.host.clone() }
    }
}

/// Returns the records of a batch's registrations and expired entries, in this order. Versions continue from the newest
/// one in the state.
pub(super) fn records(state: &State, registrations: Vec<Registration>, expired: &[EntryId]) -> Vec<Record> {
    let deletions = expired.iter().filter_map(|id| deletion(state, id));
    let mut seq = state.catalog.newest();
    let mut records = Vec::new();
    // Last change of each entry that earlier records of this batch change.
    let mut changed: HashMap<EntryId, Change> = HashMap::new();
    for registration in registrations.into_iter().chain(deletions) {
        let id = registration.id();
        let previous = changed.get(&id).or(state.catalog.get(&id.service, &id.host));
        let Some(update) = update(previous, registration, seq + 1) else { continue };
        if let Update::Change(change) = &update {
            seq = change.seq;
            changed.insert(id.clone(), change.clone());
        }
        records.push(Record::Update { service: id.service, update });
    }
    records
}

/// Returns the deletion of an entry whose TTL has expired.
fn deletion(state: &State, id: &EntryId) -> Option<Registration> {
    let change = state.catalog.get(&id.service, &id.host)?;
    let entry = Entry { health: Health::Deleted, ..change.entry.clone() };
    let ttl = Duration::from_millis(change.ttl_ms);
    Some(Registration { service: id.service.clone(), entry, ttl })
}

/// Returns the update that a registration causes: a change at version `next_seq`, a renewal with a different TTL, or
/// `None`. Neither a renewal with the same TTL nor the deletion of an entry that is not listed is written.
fn update(previous: Option<&Change>, registration: Registration, next_seq: u64) -> Option<Update> {
    let Registration { entry, ttl, .. } = registration;
    let ttl_ms = ttl.as_millis() as u64;
    let is_listed = previous.is_some_and(|change| change.entry.health != Health::Deleted);
    if entry.health == Health::Deleted && !is_listed {
        return None;
    }
    match previous {
        Some(previous) if previous.entry == entry => {
            (previous.ttl_ms != ttl_ms).then_some(Update::Renewal { host: entry.host, ttl_ms })
        }
        _ => Some(Update::Change(Change { seq: next_seq, entry, ttl_ms })),
    }
}
