//! Leases (Gray and Cheriton, "Leases", SOSP 1989): at most one process at a time holds a duty, for a limited time.
//!
//! Each grant carries a fencing token above those of all earlier grants. Whoever is asked to act for a duty compares
//! tokens and so tells an earlier holder from the present one. Times are those of the registry's monotonic clock; a
//! holder measures its own time from the moment at which it sent its request.
//!
//! The writer thread owns the [`LeaseTable`] and asks it in its step "decide". A lease ends in one of two ways:
//!
//! - its holder releases it: [`LeaseTable::request`] with a token and without a TTL;
//! - it is not renewed within its TTL: [`LeaseTable::expire`] ends it in the writer's next batch. From the moment at
//!   which the TTL is over [`LeaseTable::holds`] is false, also before that batch.
//!
//! Either end is written to the log as a release record. A restart ends no lease: each one on disk runs for its full
//! TTL again. A registry whose disk was replaced knows no leases, and grants tokens above the earlier ones, because
//! every start continues at the present time in microseconds (see `store::recovery`).

mod request;

pub(crate) use request::LeaseRequest;

#[cfg(test)]
use request::MAX_NAME_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Most duties that are held at once; it bounds the memory and the snapshot.
const MAX_LEASES: usize = 10_000;

/// A duty's holder, as the log, the snapshot and the answers to callers hold it.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub(crate) struct Lease {
    /// The duty that is held.
    pub(crate) duty: String,
    /// The name of the process that holds it.
    pub(crate) holder: String,
    /// The fencing token: above those of all earlier grants of any duty.
    pub(crate) token: u64,
    /// How long the lease lasts from each grant or renewal on, in milliseconds.
    pub(crate) ttl_ms: u64,
}

/// Why a well-formed lease request was rejected. Apart from `Held`, which is answered as JSON, the texts are answered to
/// the caller.
#[derive(Error, Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeaseError {
    /// Another lease holds the duty.
    #[error("held by {}, for {remaining_ms} ms without renewal", lease.holder)]
    Held {
        /// The present lease.
        lease: Lease,
        /// Time until it ends unless it is renewed, in milliseconds.
        remaining_ms: u64,
    },
    /// The caller does not hold the duty, or holds it no longer.
    #[error("not held, or no longer, by this holder with this token")]
    NotHeld,
    /// [`MAX_LEASES`] duties are held.
    #[error("as many duties are held as can be; release some, or wait until their leases end")]
    TooMany,
}

/// What a decision on a lease changes on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeaseChange {
    /// A grant, or a renewal with another TTL, is to be written.
    Write(Lease),
    /// The release of this duty, or its end without renewal, is to be written.
    Release(String),
    /// Nothing is to be written: the deadline of a renewal is in memory only, since a restart gives every lease its
    /// full TTL again.
    Unchanged,
}

/// A lease request that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseDecision {
    /// The lease as the caller is answered it.
    pub(crate) lease: Lease,
    /// What is to be written before the caller is answered.
    pub(crate) change: LeaseChange,
}

/// A lease and the time at which it ends unless it is renewed.
#[derive(Clone, Debug)]
struct ActiveLease {
    lease: Lease,
    ends_at: Instant,
}

/// What a duty's lease was before a decision, to be restored if the decision can't be written.
struct UndoEntry {
    duty: String,
    previous: Option<ActiveLease>,
}

/// The leases that are held, with their deadlines. Owned by the writer thread.
pub(crate) struct LeaseTable {
    by_duty: HashMap<String, ActiveLease>,
    /// The highest token granted so far.
    last_token: u64,
    /// The decisions since the last [`LeaseTable::settle`], oldest first.
    undo: Vec<UndoEntry>,
}

impl LeaseTable {
    /// Takes over the leases read from disk. Each gets its full TTL, since the log does not hold the time of its last
    /// renewal. `last_token` is the highest token that may have been granted.
    pub(crate) fn new<'a>(leases: impl Iterator<Item = &'a Lease>, last_token: u64, now: Instant) -> Self {
        let by_duty = leases
            .map(|lease| {
                let ends_at = now + Duration::from_millis(lease.ttl_ms);
                (lease.duty.clone(), ActiveLease { lease: lease.clone(), ends_at })
            })
            .collect();
        LeaseTable { by_duty, last_token, undo: Vec::new() }
    }

    /// Grants, renews or releases a duty.
    ///
    /// A request without a token gets a new token or is rejected, also under the name of the present holder: that
    /// holder may be an earlier process of the same name, which still acts.
    pub(crate) fn request(
        &mut self,
        request: &LeaseRequest,
        now: Instant,
    ) -> Result<LeaseDecision, LeaseError> {
        let active = self.by_duty.get(&request.duty).filter(|active| active.ends_at > now).cloned();
        match (active, request.token, request.ttl_ms) {
            (Some(active), None, _) => Err(LeaseError::Held {
                remaining_ms: (active.ends_at - now).as_millis() as u64,
                lease: active.lease,
            }),
            (None, None, Some(ttl_ms)) => self.grant(request, ttl_ms, now),
            (Some(ActiveLease { lease, .. }), Some(token), ttl_ms)
                if lease.token == token && lease.holder == request.holder =>
            {
                Ok(match ttl_ms {
                    Some(ttl_ms) => self.renew(lease, ttl_ms, now),
                    None => self.release(lease),
                })
            }
            _ => Err(LeaseError::NotHeld),
        }
    }

    /// Whether a token is that of the present holder of a duty.
    pub(crate) fn holds(&self, duty: &str, token: u64, now: Instant) -> bool {
        self.by_duty.get(duty).is_some_and(|active| active.lease.token == token && active.ends_at > now)
    }

    /// Ends the leases that were not renewed in time. Returns the releases that are to be written.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<LeaseChange> {
        let is_over = |active: &ActiveLease| active.ends_at <= now;
        let over = self.by_duty.iter().filter(|(_, active)| is_over(active));
        let duties: Vec<String> = over.map(|(duty, _)| duty.clone()).collect();
        for duty in &duties {
            self.set(duty, None);
        }
        duties.into_iter().map(LeaseChange::Release).collect()
    }

    /// Moves the end of every lease back by the time in which the registry was stalled. During that time nobody could
    /// renew; no holder relies on the end of its lease, so a later end is safe.
    pub(crate) fn extend(&mut self, by: Duration) {
        for active in self.by_duty.values_mut() {
            active.ends_at += by;
        }
    }

    /// Ends the batch: keeps the decisions since the last call if they are on disk, else undoes them, newest first.
    /// Tokens of undone grants are not granted again.
    pub(crate) fn settle(&mut self, is_on_disk: bool) {
        let undo = std::mem::take(&mut self.undo);
        if is_on_disk {
            return;
        }
        for UndoEntry { duty, previous } in undo.into_iter().rev() {
            match previous {
                Some(active) => self.by_duty.insert(duty, active),
                None => self.by_duty.remove(&duty),
            };
        }
    }

    fn grant(
        &mut self,
        request: &LeaseRequest,
        ttl_ms: u64,
        now: Instant,
    ) -> Result<LeaseDecision, LeaseError> {
        if self.by_duty.len() >= MAX_LEASES && !self.by_duty.contains_key(&request.duty) {
            return Err(LeaseError::TooMany);
        }
        self.last_token += 1;
        let lease = Lease {
            duty: request.duty.clone(),
            holder: request.holder.clone(),
            token: self.last_token,
            ttl_ms,
        };
        self.start(&lease, now);
        Ok(LeaseDecision { change: LeaseChange::Write(lease.clone()), lease })
    }

    /// Failure: a longer TTL that is not on disk would, after a restart, be shorter than its holder believes, and
    /// another process would be granted the duty while the holder still acts. So a changed TTL is written.
    fn renew(&mut self, lease: Lease, ttl_ms: u64, now: Instant) -> LeaseDecision {
        let is_same_ttl = lease.ttl_ms == ttl_ms;
        let lease = Lease { ttl_ms, ..lease };
        self.start(&lease, now);
        let change = if is_same_ttl { LeaseChange::Unchanged } else { LeaseChange::Write(lease.clone()) };
        LeaseDecision { lease, change }
    }

    fn release(&mut self, lease: Lease) -> LeaseDecision {
        self.set(&lease.duty, None);
        LeaseDecision { change: LeaseChange::Release(lease.duty.clone()), lease }
    }

    /// Starts the TTL of a lease.
    fn start(&mut self, lease: &Lease, now: Instant) {
        let ends_at = now + Duration::from_millis(lease.ttl_ms);
        self.set(&lease.duty, Some(ActiveLease { lease: lease.clone(), ends_at }));
    }

    fn set(&mut self, duty: &str, active: Option<ActiveLease>) {
        let previous = match active {
            Some(active) => self.by_duty.insert(duty.to_string(), active),
            None => self.by_duty.remove(duty),
        };
        self.undo.push(UndoEntry { duty: duty.to_string(), previous });
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/lease.rs"]
mod tests;
