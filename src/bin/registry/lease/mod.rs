//! Leases (Gray and Cheriton, "Leases", SOSP 1989): at most one process at a time holds a duty, for a limited time.
//!
//! Each grant carries a fencing token above those of all earlier grants. A service that acts on behalf of a holder
//! compares tokens to reject earlier holders. Times are those of the registry's monotonic clock; a holder measures its
//! lease on its own clock from the moment at which it sent the request.
//!
//! The writer thread owns the [`LeaseTable`] and consults it in its step "decide". A lease ends in one of two ways:
//!
//! - its holder releases it: [`LeaseTable::request`] with a token and without a TTL;
//! - it is not renewed within its TTL: [`LeaseTable::expire`] ends it in the writer's next batch. [`LeaseTable::holds`]
//!   is false from the moment at which the TTL expires, also before that batch.
//!
//! Either end is written to the log as a release record. A restart ends no lease: each one on disk runs for its full
//! TTL again. A registry whose disk was replaced has no leases, and still grants tokens above the earlier ones, because
//! every start continues at the current time in microseconds (see `store::recovery`).

mod request;

pub(crate) use request::LeaseRequest;

#[cfg(test)]
use request::MAX_NAME_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of duties held at the same time; it bounds the memory and the snapshot.
const MAX_LEASES: usize = 10_000;

/// A lease on a duty, in the form of the log, the snapshot and the answers to callers.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[serde(deny_unknown_fields)]
pub(crate) struct Lease {
    /// Name of the duty.
    pub(crate) duty: String,
    /// Name of the process that holds the duty.
    pub(crate) holder: String,
    /// Fencing token, above those of all earlier grants of any duty.
    pub(crate) token: u64,
    /// Duration of the lease from each grant or renewal, in milliseconds.
    pub(crate) ttl_ms: u64,
}

/// Error for a well-formed lease request that was rejected. The messages are answered to the caller, except for `Held`,
/// which is answered as JSON.
#[derive(Error, Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeaseError {
    /// Another lease holds the duty.
    #[error("held by {}, for {remaining_ms} ms without renewal", lease.holder)]
    Held {
        /// Current lease on the duty.
        lease: Lease,
        /// Time until that lease ends unless it is renewed, in milliseconds.
        remaining_ms: u64,
    },
    /// The caller does not hold the duty, or no longer holds it.
    #[error("not held, or no longer, by this holder with this token")]
    NotHeld,
    /// The maximum number of duties, [`MAX_LEASES`], is held.
    #[error("as many duties are held as can be; release some, or wait until their leases end")]
    TooMany,
}

/// The change on disk that a decision on a lease requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LeaseChange {
    /// Write a grant, or a renewal with a different TTL.
    Write(Lease),
    /// Write the release of this duty or the expiry of its lease.
    Release(String),
    /// Write nothing. The deadline of a renewal is kept in memory only, since a restart gives every lease its full TTL
    /// again.
    Unchanged,
}

/// The decision on a lease request that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseDecision {
    /// Lease that is answered to the caller.
    pub(crate) lease: Lease,
    /// Change that has to be on disk before the caller is answered.
    pub(crate) change: LeaseChange,
}

/// A lease and the time at which it ends unless it is renewed.
#[derive(Clone, Debug)]
struct ActiveLease {
    lease: Lease,
    ends_at: Instant,
}

/// The lease of a duty before a decision, to be restored if the decision can't be written.
struct UndoEntry {
    duty: String,
    previous: Option<ActiveLease>,
}

/// The leases that are held, with their deadlines. The writer thread owns this table.
pub(crate) struct LeaseTable {
    by_duty: HashMap<String, ActiveLease>,
    /// Highest token granted so far.
    last_token: u64,
    /// Undo entries of the decisions since the last [`LeaseTable::finish_batch`], oldest first.
    undo: Vec<UndoEntry>,
}

impl LeaseTable {
    /// Creates a table of the leases read from disk. Each gets its full TTL, since the time of its last renewal is
    /// not in the log. `last_token` is the highest token that may have been granted.
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
    /// A request without a token gets a new token or is rejected, even if it has the name of the current holder: that
    /// holder may be an earlier process of the same name that is still running.
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

    /// Returns true if a token is that of the current holder of a duty.
    pub(crate) fn holds(&self, duty: &str, token: u64, now: Instant) -> bool {
        self.by_duty.get(duty).is_some_and(|active| active.lease.token == token && active.ends_at > now)
    }

    /// Ends the leases that were not renewed in time and returns the releases to be written.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<LeaseChange> {
        let is_expired = |active: &ActiveLease| active.ends_at <= now;
        let expired = self.by_duty.iter().filter(|(_, active)| is_expired(active));
        let duties: Vec<String> = expired.map(|(duty, _)| duty.clone()).collect();
        for duty in &duties {
            self.set(duty, None);
        }
        duties.into_iter().map(LeaseChange::Release).collect()
    }

    /// Postpones the end of every lease by the time in which the registry was stalled, when no holder could renew. No
    /// holder relies on the end of its lease, so a later end is safe.
    pub(crate) fn extend(&mut self, stalled: Duration) {
        for active in self.by_duty.values_mut() {
            active.ends_at += stalled;
        }
    }

    /// Ends a batch: keeps the decisions since the last call if they are on disk, otherwise undoes them, newest first.
    /// Tokens of undone grants are not granted again.
    pub(crate) fn finish_batch(&mut self, is_on_disk: bool) {
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
        self.start_ttl(&lease, now);
        Ok(LeaseDecision { change: LeaseChange::Write(lease.clone()), lease })
    }

    /// Renews a lease. A changed TTL is written to disk.
    ///
    /// Failure: after a restart, a longer TTL that is not on disk would be shorter than its holder assumes, and another
    /// process would be granted the duty while the holder still acts.
    fn renew(&mut self, lease: Lease, ttl_ms: u64, now: Instant) -> LeaseDecision {
        let is_same_ttl = lease.ttl_ms == ttl_ms;
        let lease = Lease { ttl_ms, ..lease };
        self.start_ttl(&lease, now);
        let change = if is_same_ttl { LeaseChange::Unchanged } else { LeaseChange::Write(lease.clone()) };
        LeaseDecision { lease, change }
    }

    fn release(&mut self, lease: Lease) -> LeaseDecision {
        self.set(&lease.duty, None);
        LeaseDecision { change: LeaseChange::Release(lease.duty.clone()), lease }
    }

    /// Stores a lease whose TTL starts now.
    fn start_ttl(&mut self, lease: &Lease, now: Instant) {
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
