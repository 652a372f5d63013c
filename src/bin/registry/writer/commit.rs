//! Step "commit" of the writer: the records of a batch go to the log, then into the state that is served.

use super::decide::{Batch, PendingReply};
use super::records::records;
use super::{Shared, Writer};
use crate::lease::LeaseChange;
use crate::store::{Log, Record, State};
use load_balancer::catalog::Update;
use std::collections::HashSet;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Time after which the end of an entry that could not be written is written again.
const EXPIRY_RETRY: Duration = Duration::from_secs(1);

/// Whether a batch is on disk, else the disk's error.
pub(super) type CommitResult = Result<(), String>;

impl Writer {
    /// Writes a batch. Afterwards the leases, the deadlines and the route table agree with the disk, whether the write
    /// succeeded or failed. Returns the replies that are due, and the result that they depend on.
    pub(super) fn commit(&mut self, batch: Batch, now: Instant) -> (Vec<PendingReply>, CommitResult) {
        let Batch { registrations, expired, lease_changes, route_decision, replies } = batch;
        let mut records = records(&self.shared.state(), registrations, &expired);
        records.extend(lease_changes.into_iter().filter_map(lease_record));
        records.extend(route_decision.iter().map(|record| Record::Routes(Box::new(record.clone()))));
        let result = self.log.append(&records).map_err(|e| e.to_string());
        self.leases.settle(result.is_ok());
        match &result {
            Ok(()) => {
                publish(&self.shared, records);
                if self.log.is_snapshot_due(self.snapshot_every) {
                    // Lists are answered meanwhile: this thread is the only one that writes the state.
                    write_snapshot(&mut self.log, &self.shared.state());
                }
                if !expired.is_empty() {
                    info!(count = expired.len(), "entries deleted: their TTL lapsed");
                }
            }
            Err(e) => {
                warn!(error = %e, records = records.len(), "write failed, nothing of it was answered as stored");
                self.deadlines.retry(expired, now + EXPIRY_RETRY);
            }
        }
        if let (Some(service), Some(record)) = (self.shared.route_table.as_deref(), route_decision) {
            service.settle(record, result.is_ok());
        }
        (replies, result)
    }
}

fn lease_record(change: LeaseChange) -> Option<Record> {
    match change {
        LeaseChange::Write(lease) => Some(Record::Lease(lease)),
        LeaseChange::Release(duty) => Some(Record::Release(duty)),
        LeaseChange::Unchanged => None,
    }
}

/// Applies records that are on disk to the state, then wakes the watches of the services that they change.
fn publish(shared: &Shared, records: Vec<Record>) {
    let mut changed_services = HashSet::new();
    let mut state = shared.state.write().unwrap_or_else(|poisoned| poisoned.into_inner());
    for record in records {
        if let Record::Update { service, update: Update::Change(_) } = &record {
            changed_services.insert(service.clone());
        }
        state.apply(record);
    }
    drop(state);
    for service in changed_services {
        shared.changed(&service, shared.version(&service));
    }
}

/// Writes a snapshot and starts the log anew. On failure the log stays as it was, and the snapshot is tried again after
/// the next batch.
pub(crate) fn write_snapshot(log: &mut Log, state: &State) {
    let started = Instant::now();
    match log.compact(state) {
        Ok(bytes) => {
            let took_ms = started.elapsed().as_millis() as u64;
            info!(
                seq = state.catalog.newest(),
                entries = state.catalog.entry_count(),
                bytes,
                took_ms,
                "snapshot written, log compacted"
            );
        }
        Err(e) => warn!(error = %e, "snapshot failed, the log is kept"),
    }
}
