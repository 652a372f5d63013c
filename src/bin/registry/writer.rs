//! The one thread that writes: versions, group commit, TTLs and compaction.

use crate::store::{Change, Entry, Health, Log, State};
use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, watch};
use tracing::{info, warn};

/// A write's answer: the version it is visible from, or why it failed.
pub type Answer = Result<u64, String>;

/// Entries to store, each to be renewed within `ttl`.
pub struct Order {
    /// The entries; a `DELETED` one takes its name off the list.
    pub entries: Vec<Entry>,
    /// How long each lives without renewal.
    pub ttl: Duration,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Answer>,
}

/// What the serving side shares with the writer.
pub struct Shared {
    /// The state as it is on disk.
    pub state: RwLock<State>,
    /// The newest durable version: watches wait on it.
    pub newest: watch::Sender<u64>,
}

/// How often lapsed TTLs are looked for.
const TICK: Duration = Duration::from_millis(50);
/// At most so many orders share one fsync.
const MAX_BATCH: usize = 4096;

/// Runs until every sender is gone.
pub fn run(mut log: Log, shared: Arc<Shared>, orders: Receiver<Order>, snapshot_every: u64) {
    // Deadlines live in memory only: after a restart each entry has its TTL anew.
    let mut deadlines: HashMap<String, Instant> = {
        let state = shared.state.read().unwrap_or_else(|p| p.into_inner());
        let now = Instant::now();
        let ttl = Duration::from_secs(60);
        state.whole().hosts.iter().map(|e| (e.host.clone(), now + ttl)).collect()
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
        let mut lapsed: Vec<Entry> = Vec::new();
        deadlines.retain(|host, deadline| {
            let keep = *deadline > now;
            if !keep {
                lapsed.push(lapsed_entry(host, &shared));
            }
            keep
        });
        if pending.is_empty() && lapsed.is_empty() {
            continue;
        }
        let (changes, seq) = {
            let state = shared.state.read().unwrap_or_else(|p| p.into_inner());
            let mut seq = state.seq;
            let mut batch: HashMap<&str, usize> = HashMap::new();
            let mut changes: Vec<Change> = Vec::new();
            let entries = pending.iter().flat_map(|o| o.entries.iter().map(move |e| (e, o.ttl)));
            for (entry, ttl) in entries.map(|(e, t)| (e, Some(t))).chain(lapsed.iter().map(|e| (e, None))) {
                let held =
                    batch.get(entry.host.as_str()).map(|&i| &changes[i].entry).or(state.get(&entry.host));
                if let Some(ttl) = ttl.filter(|_| entry.health != Health::Deleted) {
                    deadlines.insert(entry.host.clone(), now + ttl);
                } else if ttl.is_some() {
                    deadlines.remove(&entry.host);
                }
                let same = held == Some(entry) || (entry.health == Health::Deleted && held.is_none());
                if !same {
                    seq += 1;
                    batch.insert(&entry.host, changes.len());
                    changes.push(Change { seq, entry: entry.clone() });
                }
            }
            (changes, seq)
        };
        let answer = match log.append(&changes) {
            Ok(()) => {
                let mut state = shared.state.write().unwrap_or_else(|p| p.into_inner());
                let count = changes.len();
                for change in changes {
                    state.apply(change);
                }
                if count > 0 {
                    shared.newest.send_replace(seq);
                }
                if log.since_snapshot >= snapshot_every {
                    compact(&mut log, &state);
                }
                Ok(seq)
            }
            Err(e) => {
                warn!(error = %e, records = changes.len(), "write failed, nothing of it was answered as stored");
                Err(format!("storage: {e}"))
            }
        };
        if !lapsed.is_empty() {
            info!(count = lapsed.len(), "entries deleted: their TTL lapsed");
        }
        for order in pending.drain(..) {
            // A caller that went away needs no answer.
            let _ = order.answer.send(answer.clone());
        }
    }
}

/// The entry that a lapsed TTL leaves: the held one, marked deleted.
fn lapsed_entry(host: &str, shared: &Shared) -> Entry {
    let state = shared.state.read().unwrap_or_else(|p| p.into_inner());
    let mut entry = state.get(host).cloned().unwrap_or_else(|| Entry {
        host: host.to_string(),
        dial: None,
        site: String::new(),
        class: String::new(),
        block: 0,
        health: Health::Deleted,
        share: 0.0,
        born_ms: 0.0,
    });
    entry.health = Health::Deleted;
    entry
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
