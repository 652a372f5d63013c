//! The writer thread, the only one that changes the registry's state, its log and its snapshot.
//!
//! A write passes through these steps, each a method of [`Writer`], between its arrival and its answer:
//!
//! 1. collect: the requests that have arrived become one batch, so that they share one `fsync` (group commit).
//!    Without a request the step ends after [`EXPIRY_INTERVAL`], so that entries and leases expire in time.
//! 2. decide (`decide.rs`): each request is checked against the state and becomes records or an error. Entries and
//!    leases whose TTL has expired become records of their end. Renewals of entries are applied before these
//!    expiries.
//! 3. commit (`commit.rs`): the records are appended to the log and synced. Only then are they applied to the state and
//!    become visible to lists and watches. If the disk fails, no record of the batch is applied.
//! 4. answer (`answer.rs`): each caller gets its reply, a success only if its records are on disk.
//!
//! The thread owns the log, the leases and the deadlines of the entries. It shares the state with the HTTP handlers
//! through [`Shared`], of which it is the only writer.

mod answer;
mod commit;
mod deadlines;
mod decide;
mod records;
mod request;
mod shared;
mod wake;

pub(crate) use commit::write_snapshot;
pub(crate) use request::{Fence, WriteError, WriteOperation, WriteOutcome, WriteRequest};
pub(crate) use shared::Shared;

use crate::lease::LeaseTable;
use crate::store::Log;
use deadlines::Deadlines;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};
use tracing::warn;

/// Maximum time between two checks for entries and leases whose TTL has expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of requests that share one `fsync`.
const MAX_BATCH_REQUESTS: usize = 4096;
/// Minimum time between two batches for which the registry is considered stalled.
const MIN_STALL: Duration = Duration::from_secs(1);

/// The sending end of the channel to the writer thread, used by the HTTP handlers.
pub(crate) type WriteQueue = Sender<WriteRequest>;

/// Runs the writer thread until every [`WriteQueue`] is dropped. A snapshot is written after `snapshot_every` records.
pub(crate) fn run(log: Log, shared: Arc<Shared>, requests: Receiver<WriteRequest>, snapshot_every: u64) {
    let mut writer = Writer::new(log, shared, snapshot_every);
    while let Some(batch_requests) = writer.collect(&requests) {
        let now = writer.start_batch();
        let batch = writer.decide(batch_requests, now);
        if !batch.is_empty() {
            let (replies, result) = writer.commit(batch, now);
            writer.answer(replies, &result);
        }
    }
}

/// The state of the writer thread.
struct Writer {
    log: Log,
    shared: Arc<Shared>,
    /// Number of records after which a snapshot is written.
    snapshot_every: u64,
    /// Expiry deadlines of all entries.
    deadlines: Deadlines,
    leases: LeaseTable,
    /// Requests deferred to the next batch.
    deferred: Vec<WriteRequest>,
    /// Start of the last batch.
    last_batch: Instant,
}

impl Writer {
    /// Creates the writer for the state read from disk; every TTL starts now.
    fn new(log: Log, shared: Arc<Shared>, snapshot_every: u64) -> Writer {
        let now = Instant::now();
        let state = shared.state();
        let deadlines = Deadlines::new(&state, now);
        let leases = LeaseTable::new(state.leases.values(), state.token, now);
        drop(state);
        Writer { log, shared, snapshot_every, deadlines, leases, deferred: Vec::new(), last_batch: now }
    }

    /// Collects the requests of the next batch, deferred ones first. Returns `None` once every sender is dropped.
    fn collect(&mut self, requests: &Receiver<WriteRequest>) -> Option<Vec<WriteRequest>> {
        let mut batch = std::mem::take(&mut self.deferred);
        let wait = if batch.is_empty() { EXPIRY_INTERVAL } else { Duration::ZERO };
        match requests.recv_timeout(wait) {
            Ok(request) => batch.push(request),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        let capacity = MAX_BATCH_REQUESTS.saturating_sub(batch.len());
        batch.extend(requests.try_iter().take(capacity));
        Some(batch)
    }

    /// Starts a batch: returns the current time, and extends all TTLs if the registry was stalled since the last batch.
    ///
    /// Failure: the process or its disk is stopped for a while, and nothing can be renewed meanwhile. Every entry and
    /// lease would expire in the first batch afterwards, and the proxies would lose all backends at once. How it
    /// shows: the time since the last batch is over [`MIN_STALL`], while it is about [`EXPIRY_INTERVAL`] in normal
    /// operation. All deadlines are postponed by that time, so that each TTL has as much time left as before the
    /// stall.
    fn start_batch(&mut self) -> Instant {
        let now = Instant::now();
        let stalled = now - self.last_batch;
        self.last_batch = now;
        if stalled > MIN_STALL {
            warn!(
                stalled_ms = stalled.as_millis() as u64,
                "the registry was stalled; all TTLs are extended by that time"
            );
            self.deadlines.extend(stalled);
            self.leases.extend(stalled);
        }
        now
    }
}
