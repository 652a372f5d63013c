//! The one thread that writes: versions, group commit, TTLs and compaction.

mod deadlines;
mod order;
mod records;
mod route_table;
mod shared;
mod wake;

pub use order::{Done, Failed, Fence, Order, Want};
pub use shared::Shared;

use crate::lease::{Table, Written};
use crate::store::{Log, Record, State};
use deadlines::Deadlines;
use load_balancer::catalog::{ServiceName, Update};
use records::{Registration, records};
use route_table::Batch;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How often lapsed TTLs are looked for.
const TICK: Duration = Duration::from_millis(50);
/// At most so many orders share one fsync.
const MAX_BATCH: usize = 4096;
/// A lapse that could not be written is tried again after this.
const RETRY: Duration = Duration::from_secs(1);

/// A pause of the writer's own that is longer, such as a stopped process or disk, must not cost anybody's TTL.
const STALL: Duration = Duration::from_secs(1);

/// Runs until every sender is gone.
pub fn run(mut log: Log, shared: Arc<Shared>, orders: Receiver<Order>, snapshot_every: u64) {
    let mut last = Instant::now();
    let mut deadlines = Deadlines::new(&shared.state(), last);
    let mut table = {
        let state = shared.state();
        Table::new(state.leases.values(), state.token, last)
    };
    let mut pending: Vec<Order> = Vec::new();
    loop {
        match orders.recv_timeout(if pending.is_empty() { TICK } else { Duration::ZERO }) {
            Ok(order) => pending.push(order),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        while pending.len() < MAX_BATCH {
            match orders.try_recv() {
                Ok(order) => pending.push(order),
                Err(_) => break,
            }
        }
        let now = Instant::now();
        let stalled = now - std::mem::replace(&mut last, now);
        if stalled > STALL {
            warn!(
                stalled_ms = stalled.as_millis() as u64,
                "the registry stood still: every TTL is longer by that"
            );
            deadlines.extend(stalled);
            table.extend(stalled);
        }
        // Renewals first, of leases too: one that came in time must not find its entry lapsed.
        let (mut registrations, mut writes, mut answers) = (Vec::new(), Vec::new(), Vec::new());
        let host = shared.routes.as_deref();
        let mut batch = Batch::begin(host, &shared.state());
        for Order { want, answer } in pending.drain(..) {
            if batch.waits(&want) {
                batch.later.push(Order { want, answer });
                continue;
            }
            let done = match want {
                Want::Lease(ask) => table.ask(&ask, now).map_err(Failed::Lease).map(|(lease, written)| {
                    writes.push(written);
                    Outcome::Done(Done::Lease(lease))
                }),
                Want::Routes { proposal, fence } => batch
                    .propose(host, &shared.state(), &table, now, (proposal, fence))
                    .map(|record| Outcome::Done(Done::Routes(Box::new(record)))),
                Want::Entries { fence: Some(f), .. } if !table.holds(&f.duty, f.token, now) => {
                    Err(Failed::Fenced)
                }
                Want::Entries { service, entries, ttl, .. } => {
                    let registration = |entry| Registration { service: service.clone(), entry, ttl };
                    registrations.extend(entries.into_iter().map(registration));
                    Ok(Outcome::Stored(service))
                }
            };
            answers.push((done, answer));
        }
        registrations.iter().for_each(|registration| deadlines.take(registration, now));
        writes.extend(table.expire(now));
        let lapsed = deadlines.lapsed(now);
        let Batch { record: decided, later } = batch;
        pending.extend(later);
        if answers.is_empty() && lapsed.is_empty() && writes.is_empty() && decided.is_none() {
            continue;
        }
        let mut records = records(&shared.state(), registrations, &lapsed);
        records.extend(writes.into_iter().filter_map(|written| match written {
            Written::Lease(lease) => Some(Record::Lease(lease)),
            Written::Release(duty) => Some(Record::Release(duty)),
            Written::Nothing => None,
        }));
        records.extend(decided.iter().map(|record| Record::Routes(Box::new(record.clone()))));
        let written = log.append(&records).map_err(|e| e.to_string());
        table.settle(written.is_ok());
        match &written {
            Ok(()) => {
                store(&shared, records);
                if log.due(snapshot_every) {
                    // Lists are answered meanwhile: nobody else writes.
                    compact(&mut log, &shared.state());
                }
                if !lapsed.is_empty() {
                    info!(count = lapsed.len(), "entries deleted: their TTL lapsed");
                }
            }
            Err(e) => {
                warn!(error = %e, records = records.len(), "write failed, nothing of it was answered as stored");
                // Still due: they are tried again.
                deadlines.retry(lapsed, now + RETRY);
            }
        }
        if let (Some(host), Some(decided)) = (host, decided) {
            host.settle(decided, written.is_ok());
        }
        for (done, answer) in answers {
            let done = done.and_then(|done| match &written {
                Ok(()) => Ok(match done {
                    Outcome::Stored(service) => Done::Stored(shared.version(&service)),
                    Outcome::Done(done) => done,
                }),
                Err(e) => Err(Failed::Storage(e.clone())),
            });
            // A caller that went away needs no answer.
            let _ = answer.send(done);
        }
    }
}

/// What becomes of an order once its batch is on disk.
enum Outcome {
    /// Entries of this service are visible.
    Stored(ServiceName),
    /// What was decided with the batch.
    Done(Done),
}

/// Makes records that are on disk visible, and wakes the watches of the services that they change.
fn store(shared: &Shared, records: Vec<Record>) {
    let mut changed = HashSet::new();
    let mut state = shared.state.write().unwrap_or_else(|p| p.into_inner());
    for record in records {
        if let Record::Update { service, update: Update::Change(_) } = &record {
            changed.insert(service.clone());
        }
        state.apply(record);
    }
    drop(state);
    for service in changed {
        shared.changed(&service, shared.version(&service));
    }
}

/// Writes a snapshot; a failure leaves the log as it was, to be tried again after the next writes.
pub fn compact(log: &mut Log, state: &State) {
    let started = Instant::now();
    match log.compact(state) {
        Ok(bytes) => {
            let took_ms = started.elapsed().as_millis() as u64;
            info!(
                seq = state.catalog.newest(),
                entries = state.catalog.live(),
                bytes,
                took_ms,
                "snapshot written, log compacted"
            );
        }
        Err(e) => warn!(error = %e, "snapshot failed, the log is kept"),
    }
}

/// A sender of orders for the serving side.
pub type Orders = Sender<Order>;
