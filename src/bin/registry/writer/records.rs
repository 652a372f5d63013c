//! The records that registrations and expired entries become, with their versions.

use crate::store::{Record, State};
use load_balancer::catalog::{Change, Entry, Health, ServiceName, Update};
use std::collections::HashMap;
use std::time::Duration;

/// An entry among those of all services.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EntryId {
    /// Its service.
    pub(super) service: ServiceName,
    /// Its host name, unique in the service.
    pub(super) host: String,
}

/// An entry that is to be stored.
pub(super) struct Registration {
    /// Its service.
    pub(super) service: ServiceName,
    /// The entry; a `DELETED` one takes its host off the list.
    pub(super) entry: Entry,
    /// How long it lives without renewal.
    pub(super) ttl: Duration,
}

impl Registration {
    /// The entry that is stored.
    pub(super) fn id(&self) -> EntryId {
        EntryId { service: self.service.clone(), host: self.entry.host.clone() }
    }
}

/// The records of a batch's registrations and of its entries whose TTL is over, in this order. Versions continue from
/// the newest in the state.
pub(super) fn records(state: &State, registrations: Vec<Registration>, expired: &[EntryId]) -> Vec<Record> {
    let deletions = expired.iter().filter_map(|id| deletion(state, id));
    let mut seq = state.catalog.newest();
    let mut records = Vec::new();
    // Entries as the records before leave them, where these change them.
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

/// The deletion of an entry whose TTL is over.
fn deletion(state: &State, id: &EntryId) -> Option<Registration> {
    let change = state.catalog.get(&id.service, &id.host)?;
    let entry = Entry { health: Health::Deleted, ..change.entry.clone() };
    let ttl = Duration::from_millis(change.ttl_ms);
    Some(Registration { service: id.service.clone(), entry, ttl })
}

/// What a registration changes in the entry: a change at the version `next_seq`, a renewal with another TTL, or nothing.
/// A plain renewal writes nothing, and so does the deletion of an entry that is not listed.
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
