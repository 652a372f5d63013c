//! The entries of one service.

use super::{Change, Entry, Health};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// The entries of one service, each at the version of its last change.
pub struct Service {
    slots: HashMap<String, Change>,
    by_seq: BTreeMap<u64, String>,
    horizon: u64,
}

impl Service {
    /// No entry yet; nothing is known of changes before the horizon.
    pub fn new(horizon: u64) -> Service {
        Service { slots: HashMap::new(), by_seq: BTreeMap::new(), horizon }
    }

    /// Entries and tombstones.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The version of the newest change.
    pub fn version(&self) -> u64 {
        self.by_seq.last_key_value().map_or(self.horizon, |(&newest, _)| newest.max(self.horizon))
    }

    /// Changes after this version are all still known.
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    /// The last change of an entry, deleted or not.
    pub fn get(&self, host: &str) -> Option<&Change> {
        self.slots.get(host)
    }

    /// The entries that are not deleted, in no order.
    pub fn live(&self) -> impl Iterator<Item = &Change> {
        self.slots.values().filter(|change| change.entry.health != Health::Deleted)
    }

    /// Entries and tombstones in the order of their versions.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.by_seq.values().map(|host| &self.slots[host])
    }

    /// Takes a change in; the one before it of the same entry.
    pub fn insert(&mut self, change: Change) -> Option<Change> {
        let (seq, host) = (change.seq, change.entry.host.clone());
        let old = self.slots.insert(host.clone(), change);
        if let Some(old) = &old {
            self.by_seq.remove(&old.seq);
        }
        self.by_seq.insert(seq, host);
        old
    }

    /// Another TTL for an entry.
    pub fn renew(&mut self, host: &str, ttl_ms: u64) {
        if let Some(change) = self.slots.get_mut(host) {
            change.ttl_ms = ttl_ms;
        }
    }

    /// The tombstone of a version goes, and the horizon follows it.
    pub fn forget(&mut self, seq: u64) {
        if let Some(host) = self.by_seq.remove(&seq) {
            self.slots.remove(&host);
        }
        self.horizon = self.horizon.max(seq);
    }

    /// All entries.
    pub fn whole(&self) -> Vec<&Entry> {
        let entries = self.changes().map(|change| &change.entry);
        entries.filter(|entry| entry.health != Health::Deleted).collect()
    }

    /// What changed after a version.
    pub fn since(&self, after: u64) -> Vec<&Entry> {
        let newer = self.by_seq.range((Bound::Excluded(after), Bound::Unbounded));
        newer.map(|(_, host)| &self.slots[host].entry).collect()
    }
}
