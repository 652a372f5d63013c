//! Step "commit" of the writer: writes the records of a batch to the log, then applies them to the served state.

use super::decide::{Batch, PendingReply};
use super::records::records;
use super::{Shared, Writer};
use crate::lease::LeaseChange;
use crate::store::{Log, Record, State};
use load_balancer::catalog::Update;
use std::collections::HashSet;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Delay until the deletion of an expired entry is retried after it could not be written.
const EXPIRY_RETRY: Duration = Duration::from_secs(1);

/// `Ok` if a batch is on disk, otherwise the disk's error.
pub(super) type CommitResult = Result<(), String>;

impl Writer {
    /// Writes a batch. Afterwards the leases and the route table match the disk, whether the write succeeded or
    /// failed. Deletions of expired entries that could not be written are retried after [`EXPIRY_RETRY`]. The
    /// deadlines that the batch's registrations have set stay in effect after a failure. Returns the replies to send,
    /// and the result on which they depend.
    pub(super) fn commit(&mut self, batch: Batch, now: Instant) -> (Vec<PendingReply>, CommitResult) {
        let Batch { registrations, expired, lease_changes, route_decision, replies } = batch;
        let mut records = records(&self.shared.state(), registrations, &expired);
        records.extend(lease_changes.into_iter().filter_map(lease_record));
        records.extend(route_decision.iter().map(|record| Record::Routes(Box::new(record.clone()))));
        let result = self.log.append(&records).map_err(|e| e.to_string());
        self.leases.finish_batch(result.is_ok());
        match &result {
            Ok(()) => {
                publish(&self.shared, records);
                if self.log.is_snapshot_due(self.snapshot_every) {
                    // Lists are served meanwhile: only this thread locks the state for writing.
                    write_snapshot(&mut self.log, &self.shared.state());
                }
                if !expired.is_empty() {
                    info!(count = expired.len(), "deleted entries whose TTL expired");
                }
            }
            Err(e) => {
                warn!(
                    error = %e,
                    records = records.len(),
                    "writing a batch to the log failed; its writes are answered with an error"
                );
                self.deadlines.reschedule(expired, now + EXPIRY_RETRY);
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

/// Applies records that are on disk to the served state, then wakes the watches of the services that they change.
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
        shared.service_changed(&service, shared.version(&service));
    }
}

/// Writes a snapshot and empties the log. On failure the log is kept, and the snapshot is retried after the next batch.
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
        Err(e) => {
            warn!(error = %e, "writing the snapshot failed; the log is kept, and the next batch retries")
        }
    }
}
