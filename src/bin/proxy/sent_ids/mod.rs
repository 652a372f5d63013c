//! The ids of requests that may have run, so that none runs again when its client sends it once more, here or at another
//! process that serves the address.
//!
//! An id is claimed before the first attempt is written, and released if no attempt can have run.

mod id_set;
mod shared_file;

use hyper::Uri;
use hyper::header::HeaderValue;
use id_set::IdSet;
use sha2::{Digest, Sha256};
use shared_file::{Record, SharedFiles};
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use tracing::warn;

/// Bytes of the process's memory for each remembered id.
const MEMORY_BYTES_PER_ID: usize = 4096;
/// Least and largest number of remembered ids.
const ID_COUNTS: (usize, usize) = (4096, 65_536);

/// The hash of a request's id, path and query. The lowest bit is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64);

impl IdHash {
    /// Returns the hash of a request that must not run twice.
    pub fn new(id: &HeaderValue, uri: &Uri) -> Self {
        let mut hasher = Sha256::new();
        hasher.update((id.len() as u64).to_le_bytes());
        hasher.update(id.as_bytes());
        hasher.update(uri.to_string());
        let digest = hasher.finalize();
        let first = digest.iter().take(8).fold(0, |value, byte| value << 8 | u64::from(*byte));
        IdHash(first & !1)
    }
}

/// The remembered ids.
pub struct SentIds {
    ids: RefCell<IdSet>,
    shared: RefCell<Option<SharedFiles>>,
    has_failed: Cell<bool>,
}

impl SentIds {
    /// Creates an empty memory for as many ids as `memory_bytes` allow.
    pub fn new(memory_bytes: usize) -> Self {
        let capacity = (memory_bytes / MEMORY_BYTES_PER_ID).clamp(ID_COUNTS.0, ID_COUNTS.1);
        SentIds {
            ids: RefCell::new(IdSet::new(capacity)),
            shared: RefCell::default(),
            has_failed: Cell::default(),
        }
    }

    /// Shares the ids with the other processes at the address: `files` has one for each, that of this process at `own`.
    pub fn share(&self, files: Vec<PathBuf>, own: usize) {
        let capacity = self.ids.borrow().capacity();
        match SharedFiles::open(files, own, capacity) {
            Ok(shared) => drop(self.shared.replace(Some(shared))),
            Err(error) => self.report(&error),
        }
    }

    /// Returns whether a request with this id may have run.
    pub fn may_have_run(&self, id: IdHash) -> bool {
        self.read_others();
        self.ids.borrow().contains(id)
    }

    /// Claims an id for the first attempt at its request. Returns false if it may have run already.
    pub fn claim(&self, id: IdHash) -> bool {
        if !self.ids.borrow_mut().insert(id) {
            return false;
        }
        // Written before the others' ids are read, so that one of two processes that claim at once sees the other.
        self.write(Record::Claimed(id));
        !self.read_others().contains(&Record::Claimed(id))
    }

    /// Releases a claimed id, since no attempt at its request can have run.
    pub fn release(&self, id: IdHash) {
        self.ids.borrow_mut().remove(id);
        self.write(Record::Released(id));
    }

    /// Takes over what the other processes have written since the last call, and returns it.
    fn read_others(&self) -> Vec<Record> {
        let mut shared = self.shared.borrow_mut();
        let records = shared.as_mut().map_or_else(Vec::new, SharedFiles::read_others);
        let mut ids = self.ids.borrow_mut();
        for record in &records {
            match *record {
                Record::Claimed(id) => drop(ids.insert(id)),
                Record::Released(id) => ids.remove(id),
            }
        }
        records
    }

    fn write(&self, record: Record) {
        if let Some(Err(error)) = self.shared.borrow_mut().as_mut().map(|shared| shared.write(record)) {
            self.report(&error);
        }
    }

    fn report(&self, error: &std::io::Error) {
        if !self.has_failed.replace(true) {
            warn!(
                "the ids of sent requests are not shared with other processes: {error}; set TMPDIR to a writable directory"
            );
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/sent_ids.rs"]
mod tests;
