//! From orders to records.

use crate::store::{Record, State};
use load_balancer::catalog::{Change, Entry, Health, ServiceName, Update};
use std::collections::HashMap;
use std::time::Duration;

/// An entry among those of all services.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EntryId {
    /// Its service.
    pub service: ServiceName,
    /// Its name there.
    pub host: String,
}

/// An entry that is to be stored.
pub struct Registration {
    /// In which service.
    pub service: ServiceName,
    /// The entry; a `DELETED` one takes its name off.
    pub entry: Entry,
    /// How long it lives without renewal.
    pub ttl: Duration,
}

impl Registration {
    /// Which entry is stored.
    pub fn id(&self) -> EntryId {
        EntryId { service: self.service.clone(), host: self.entry.host.clone() }
    }
}

/// What is to be written for these entries and lapsed ones. Versions go on from the newest, in this order.
pub fn records(state: &State, registrations: Vec<Registration>, lapsed: &[EntryId]) -> Vec<Record> {
    let (mut seq, mut records) = (state.catalog.newest(), Vec::new());
    // What each entry will be once the records before it are in.
    let mut held: HashMap<EntryId, Change> = HashMap::new();
    let of_lapsed = lapsed.iter().filter_map(|id| {
        let change = state.catalog.get(&id.service, &id.host)?;
        let entry = Entry { health: Health::Deleted, ..change.entry.clone() };
        let ttl = Duration::from_millis(change.ttl_ms);
        Some(Registration { service: id.service.clone(), entry, ttl })
    });
    for registration in registrations.into_iter().chain(of_lapsed) {
        let id = registration.id();
        let Registration { service, entry, ttl } = registration;
        let ttl_ms = ttl.as_millis() as u64;
        let before = held.get(&id).or(state.catalog.get(&id.service, &id.host));
        let gone = before.is_none_or(|change| change.entry.health == Health::Deleted);
        if entry.health == Health::Deleted && gone {
            continue;
        }
        if before.is_some_and(|change| change.entry == entry) {
            if before.is_some_and(|change| change.ttl_ms != ttl_ms) {
                let update = Update::Renewal { host: entry.host, ttl_ms };
                records.push(Record::Update { service, update });
            }
            continue;
        }
        seq += 1;
        let change = Change { seq, entry, ttl_ms };
        held.insert(id, change.clone());
        records.push(Record::Update { service, update: Update::Change(change) });
    }
    records
}
