//! The entries and tombstones of one service, each at the version of its last change.

use super::{Change, Entry, Health};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// One service of a catalog.
pub(super) struct Service {
    by_host: HashMap<String, Change>,
    /// Host of each entry or tombstone, by the version of its last change.
    host_by_version: BTreeMap<u64, String>,
    /// Version after which all changes are kept.
    horizon: u64,
}

impl Service {
    /// Creates a service without entries; changes up to the horizon are not kept.
    pub(super) fn new(horizon: u64) -> Service {
        Service { by_host: HashMap::new(), host_by_version: BTreeMap::new(), horizon }
    }

    /// Returns the number of entries and tombstones.
    pub(super) fn len(&self) -> usize {
        self.by_host.len()
    }

    /// Returns the version of the newest change that is kept, or the horizon if that is higher.
    pub(super) fn version(&self) -> u64 {
        self.host_by_version.last_key_value().map_or(self.horizon, |(&newest, _)| newest.max(self.horizon))
    }

    /// Returns the version after which all changes are kept.
    pub(super) fn horizon(&self) -> u64 {
        self.horizon
    }

    /// Returns the last change of an entry, which may be a deletion.
    pub(super) fn get(&self, host: &str) -> Option<&Change> {
        self.by_host.get(host)
    }

    /// Iterates over the entries that are not deleted, in arbitrary order.
    pub(super) fn live(&self) -> impl Iterator<Item = &Change> {
        self.by_host.values().filter(|change| change.entry.health != Health::Deleted)
    }

    /// Iterates over entries and tombstones in the order of their versions.
    pub(super) fn changes(&self) -> impl Iterator<Item = &Change> {
        self.host_by_version.values().map(|host| &self.by_host[host])
    }

    /// Applies a change and returns the previous change of the same entry.
    pub(super) fn insert(&mut self, change: Change) -> Option<Change> {
        let seq = change.seq;
        let host = change.entry.host.clone();
        let previous = self.by_host.insert(host.clone(), change);
        if let Some(previous) = &previous {
            self.host_by_version.remove(&previous.seq);
        }
        self.host_by_version.insert(seq, host);
        previous
    }

    /// Sets the TTL of an entry, without a new version.
    pub(super) fn renew(&mut self, host: &str, ttl_ms: u64) {
        if let Some(change) = self.by_host.get_mut(host) {
            change.ttl_ms = ttl_ms;
        }
    }

    /// Removes the tombstone of a version and raises the horizon to that version.
    pub(super) fn remove_tombstone(&mut self, seq: u64) {
        if let Some(host) = self.host_by_version.remove(&seq) {
            self.by_host.remove(&host);
        }
        self.horizon = self.horizon.max(seq);
    }

    /// Returns the entries that are not deleted, in the order of their last changes.
    pub(super) fn full_list(&self) -> Vec<&Entry> {
        let entries = self.changes().map(|change| &change.entry);
        entries.filter(|entry| entry.health != Health::Deleted).collect()
    }

    /// Returns the entries and tombstones that changed after a version, in the order of their changes.
    pub(super) fn changes_after(&self, after: u64) -> Vec<&Entry> {
        let newer = self.host_by_version.range((Bound::Excluded(after), Bound::Unbounded));
        newer.map(|(_, host)| &self.by_host[host].entry).collect()
    }
}
