//! The one thread that writes: versions, group commit, TTLs and compaction.

use crate::lease::{Ask, Lease, Refused, Table, Written};
use crate::store::{Change, Entry, Health, Log, Record, State};
use bytes::Bytes;
use serde::Deserialize;
use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, RwLock, RwLockReadGuard};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use tracing::{info, warn};

/// What was done, once it is on disk.
#[derive(Clone, Debug)]
pub enum Done {
    /// Entries are visible from this version on.
    Stored(u64),
    /// A lease was granted, renewed or released.
    Lease(Lease),
}

/// Why nothing was done.
#[derive(Clone, Debug)]
pub enum Failed {
    /// The disk refused.
    Storage(String),
    /// A lease is another's.
    Lease(Refused),
    /// The token with a write is not that of its duty's present holder.
    Fenced,
}

/// What a caller wants written.
pub enum Want {
    /// Entries to store.
    Entries {
        /// The entries; a `DELETED` one takes its name off the list.
        entries: Vec<Entry>,
        /// How long each lives without renewal.
        ttl: Duration,
        /// In whose name: refused unless that is the present holder.
        fence: Option<Fence>,
    },
    /// A lease.
    Lease(Ask),
}

/// The duty that a write is done for, and the token of who does it.
#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
pub struct Fence {
    /// The duty.
    pub duty: String,
    /// The token of its grant.
    pub token: u64,
}

/// A want, and where its answer goes.
pub struct Order {
    /// The want.
    pub want: Want,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Result<Done, Failed>>,
}

/// What the serving side shares with the writer.
pub struct Shared {
    /// The state as it is on disk.
    pub state: RwLock<State>,
    /// The newest durable version: watches wait on it.
    pub newest: watch::Sender<u64>,
    /// Lists that have been made into bytes.
    pub pages: Mutex<Pages>,
}

impl Shared {
    /// Over a state as it was read from disk.
    pub fn new(state: State) -> Self {
        let (newest, _) = watch::channel(state.seq);
        Shared { state: RwLock::new(state), newest, pages: Mutex::default() }
    }

    /// The state, to be read.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(|p| p.into_inner())
    }
}

/// Lists as bytes, made once for all that ask the same at one version: after a change, or a start, thousands do.
#[derive(Default)]
pub struct Pages {
    seq: u64,
    held: usize,
    made: HashMap<Option<u64>, Bytes>,
}

impl Pages {
    /// The list after a version, or the whole one.
    pub fn get(&mut self, state: &State, after: Option<u64>) -> serde_json::Result<Bytes> {
        if std::mem::replace(&mut self.seq, state.seq) != state.seq {
            (self.held, self.made) = (0, HashMap::new());
        }
        let after = after.filter(|&seq| state.knows(seq));
        if let Some(page) = self.made.get(&after) {
            return Ok(page.clone());
        }
        let page = after.map_or_else(|| state.whole(), |seq| state.since(seq));
        let page = Bytes::from(serde_json::to_vec(&page)?);
        if self.held + page.len() <= MAX_PAGES {
            self.held += page.len();
            self.made.insert(after, page.clone());
        }
        Ok(page)
    }
}

/// How often lapsed TTLs are looked for.
const TICK: Duration = Duration::from_millis(50);
/// At most so many orders share one fsync.
const MAX_BATCH: usize = 4096;
/// A lapse that could not be written is tried again after this.
const RETRY: Duration = Duration::from_secs(1);
/// Bytes of lists that are kept made.
const MAX_PAGES: usize = 32 << 20;

/// A pause of the writer's own that is longer, such as a stopped process or disk, must not cost anybody's TTL.
const STALL: Duration = Duration::from_secs(1);

/// Runs until every sender is gone.
pub fn run(mut log: Log, shared: Arc<Shared>, orders: Receiver<Order>, snapshot_every: u64) {
    // Deadlines live in memory only: after a restart each entry has its TTL anew.
    let mut last = Instant::now();
    let mut deadlines: HashMap<String, Instant> = {
        let state = shared.state();
        state.renewable().map(|c| (c.entry.host.clone(), last + Duration::from_millis(c.ttl_ms))).collect()
    };
    let mut table = {
        let state = shared.state();
        Table::new(state.leases.values(), state.token, last)
    };
    let mut pending = Vec::new();
    loop {
        match orders.recv_timeout(TICK) {
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
            deadlines.values_mut().for_each(|d| *d += stalled);
            table.extend(stalled);
        }
        // Renewals first, of leases too: one that came in time must not find its entry lapsed.
        let (mut entries, mut writes, mut answers) = (Vec::new(), Vec::new(), Vec::new());
        for Order { want, answer } in pending.drain(..) {
            let done = match want {
                Want::Lease(ask) => table.ask(&ask, now).map_err(Failed::Lease).map(|(lease, written)| {
                    writes.push(written);
                    Some(lease)
                }),
                Want::Entries { fence: Some(f), .. } if !table.holds(&f.duty, f.token, now) => {
                    Err(Failed::Fenced)
                }
                Want::Entries { entries: new, ttl, .. } => {
                    entries.extend(new.into_iter().map(|e| (e, ttl)));
                    Ok(None)
                }
            };
            answers.push((done, answer));
        }
        for (entry, ttl) in &entries {
            if entry.health == Health::Deleted {
                deadlines.remove(&entry.host);
            } else {
                deadlines.insert(entry.host.clone(), now + *ttl);
            }
        }
        writes.extend(table.expire(now));
        let lapsed: Vec<String> = deadlines.extract_if(|_, d| *d <= now).map(|(host, _)| host).collect();
        if answers.is_empty() && lapsed.is_empty() && writes.is_empty() {
            continue;
        }
        let (mut records, seq) = records(&shared.state(), entries, &lapsed);
        records.extend(writes.into_iter().filter_map(|written| match written {
            Written::Lease(lease) => Some(Record::Lease(lease)),
            Written::Release(duty) => Some(Record::Release(duty)),
            Written::Nothing => None,
        }));
        let written = log.append(&records).map_err(|e| e.to_string());
        table.settle(written.is_ok());
        match &written {
            Ok(()) => {
                let mut state = shared.state.write().unwrap_or_else(|p| p.into_inner());
                records.into_iter().for_each(|record| state.apply(record));
                drop(state);
                shared.newest.send_if_modified(|newest| std::mem::replace(newest, seq) != seq);
                if log.since_snapshot >= snapshot_every {
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
                deadlines.extend(lapsed.into_iter().map(|host| (host, now + RETRY)));
            }
        }
        for (done, answer) in answers {
            let done = done.and_then(|lease| match &written {
                Ok(()) => Ok(lease.map_or(Done::Stored(seq), Done::Lease)),
                Err(e) => Err(Failed::Storage(e.clone())),
            });
            // A caller that went away needs no answer.
            let _ = answer.send(done);
        }
    }
}

/// What is to be written for these entries and lapsed names, and the version after it.
fn records(state: &State, entries: Vec<(Entry, Duration)>, lapsed: &[String]) -> (Vec<Record>, u64) {
    let (mut seq, mut records) = (state.seq, Vec::new());
    // What each name will hold once the records before it are in.
    let mut held: HashMap<String, Change> = HashMap::new();
    let of_orders = entries.into_iter().map(|(e, ttl)| (e, ttl.as_millis() as u64));
    let of_lapsed = lapsed.iter().filter_map(|host| {
        let change = state.get(host)?;
        Some((Entry { health: Health::Deleted, ..change.entry.clone() }, change.ttl_ms))
    });
    for (entry, ttl_ms) in of_orders.chain(of_lapsed) {
        let before = held.get(&entry.host).or(state.get(&entry.host));
        let gone = before.is_none_or(|c| c.entry.health == Health::Deleted);
        if entry.health == Health::Deleted && gone {
            continue;
        }
        if before.is_some_and(|c| c.entry == entry) {
            if before.is_some_and(|c| c.ttl_ms != ttl_ms) {
                records.push(Record::Renewal { host: entry.host, ttl_ms });
            }
            continue;
        }
        seq += 1;
        let change = Change { seq, entry, ttl_ms };
        held.insert(change.entry.host.clone(), change.clone());
        records.push(Record::Change(change));
    }
    (records, seq)
}

/// Writes a snapshot; a failure leaves the log as it was, to be tried again after the next writes.
pub fn compact(log: &mut Log, state: &State) {
    let started = Instant::now();
    match log.compact(state) {
        Ok(bytes) => {
            let took_ms = started.elapsed().as_millis() as u64;
            info!(seq = state.seq, entries = state.live(), bytes, took_ms, "snapshot written, log compacted");
        }
        Err(e) => warn!(error = %e, "snapshot failed, the log is kept"),
    }
}

/// A sender of orders for the serving side.
pub type Orders = Sender<Order>;
