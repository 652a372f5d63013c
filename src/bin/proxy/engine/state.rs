//! The engine's state: the balancer, the backends by id, and the open requests.
//!
//! The engine borrows the state for one event at a time. Backends that the balancer no longer knows are removed here.

use super::request::{PendingRequest, RequestEnd};
use crate::upstream::{Pool, Target};
use load_balancer::interface::{Action, BackendId, Event, ListKind, RequestId};
use load_balancer::{Balancer, backend_id};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use tokio::time::Instant;

/// The mutable state of the engine.
pub(super) struct State {
    pub(super) balancer: Balancer,
    pub(super) id_by_host: HashMap<String, BackendId>,
    /// The inverse map of `id_by_host`.
    pub(super) host_by_id: HashMap<BackendId, String>,
    /// Backends that the balancer may have dropped; the next change of the list checks these.
    pub(super) removal_candidates: HashSet<BackendId>,
    pub(super) targets: HashMap<BackendId, Rc<Target>>,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    pub(super) next_request_id: RequestId,
    /// The queue of events for the balancer.
    pub(super) events: VecDeque<Event>,
    /// Buffer for the balancer's actions, empty between events; kept to reuse its allocation.
    pub(super) actions: Vec<Action>,
}

pub(super) fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl State {
    /// Returns the balancer's id of a backend. The id is derived from the name because every proxy instance orders the
    /// backends by id, so that the subsets of the instances overlap evenly.
    pub(super) fn id_of(&mut self, host: &str) -> BackendId {
        if let Some(&id) = self.id_by_host.get(host) {
            return id;
        }
        let mut id = backend_id(host);
        while self.host_by_id.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.id_by_host.insert(host.to_string(), id);
        self.host_by_id.insert(id, host.to_string());
        id
    }

    /// Removes the backends that the balancer no longer knows. Without this, memory would grow without bound, since
    /// machines appear under new names for as long as the process runs. A backend that returns gets its
    /// id derived from its name again.
    ///
    /// After a delta only the candidates are checked, after a full list all backends.
    pub(super) fn remove_unknown(&mut self, kind: ListKind) {
        if kind != ListKind::Delta {
            self.removal_candidates.extend(self.host_by_id.keys());
        }
        for id in std::mem::take(&mut self.removal_candidates) {
            if self.balancer.knows(id) {
                // A backend that the balancer may drop without a further list entry stays a candidate.
                if !self.balancer.lists(id) || self.is_draining(id) {
                    self.removal_candidates.insert(id);
                }
                continue;
            }
            self.targets.remove(&id);
            if let Some(host) = self.host_by_id.remove(&id) {
                self.id_by_host.remove(&host);
            }
        }
    }

    fn is_draining(&self, id: BackendId) -> bool {
        self.targets.get(&id).is_none_or(|target| target.drained_at.get().is_some())
    }

    /// Marks a backend as taking no new requests from now on, and closes its idle connections.
    pub(super) fn withdraw(&mut self, backend: BackendId, pool: &Pool) {
        self.removal_candidates.insert(backend);
        if let Some(target) = self.targets.get(&backend).filter(|t| t.drained_at.get().is_none()) {
            target.drained_at.set(Some(Instant::now()));
            pool.close_idle(target.address);
        }
    }

    pub(super) fn end_request(&mut self, request: RequestId, end: RequestEnd) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.end(end);
        }
        self.remove_if_done(request);
    }

    pub(super) fn remove_if_done(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(PendingRequest::is_done) {
            self.requests.remove(&request);
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/engine/state.rs"]
mod tests;
