//! What the engine holds: the module, the backends by number, and the open requests.

use super::request::{Answer, Open};
use crate::upstream::{Pool, Target};
use load_balancer::interface::{Action, BackendId, Event, ListKind, RequestId};
use load_balancer::{Balancer, backend_id};
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use tokio::time::Instant;

pub(super) struct State {
    pub(super) balancer: Balancer,
    pub(super) ids: HashMap<String, BackendId>,
    /// The same the other way round.
    pub(super) names: HashMap<BackendId, String>,
    /// Those that the module may come to know no longer.
    pub(super) leaving: HashSet<BackendId>,
    pub(super) targets: HashMap<BackendId, Rc<Target>>,
    pub(super) requests: HashMap<RequestId, Open>,
    pub(super) next: RequestId,
    pub(super) events: VecDeque<Event>,
    pub(super) actions: Vec<Action>,
}

pub(super) fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl State {
    /// The module's number for a backend. It is made from the name, since every copy orders the backends by it:
    /// the copies' subsets are to overlap evenly.
    pub(super) fn id(&mut self, host: &str) -> BackendId {
        if let Some(&id) = self.ids.get(host) {
            return id;
        }
        let mut id = backend_id(host);
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(host.to_string(), id);
        self.names.insert(id, host.to_string());
        id
    }

    /// Lets go of backends that the module knows no longer: machines come under new names for as long as the
    /// process runs. One that comes back gets its number anew, from its name. After changes it is enough to look at
    /// those that were leaving, after a whole list at all.
    pub(super) fn forget_gone(&mut self, kind: ListKind) {
        if kind != ListKind::Delta {
            self.leaving.extend(self.names.keys());
        }
        for id in std::mem::take(&mut self.leaving) {
            if self.balancer.knows(id) {
                // Only what may end without any further word of it is looked at again.
                if !self.balancer.lists(id) || self.drained(id) {
                    self.leaving.insert(id);
                }
                continue;
            }
            self.targets.remove(&id);
            if let Some(name) = self.names.remove(&id) {
                self.ids.remove(&name);
            }
        }
    }

    fn drained(&self, id: BackendId) -> bool {
        self.targets.get(&id).is_none_or(|target| target.drained.get().is_some())
    }

    /// Nothing new goes to a backend from now on.
    pub(super) fn withdraw(&mut self, backend: BackendId, pool: &Pool) {
        self.leaving.insert(backend);
        if let Some(target) = self.targets.get(&backend).filter(|t| t.drained.get().is_none()) {
            target.drained.set(Some(Instant::now()));
            pool.close(target.dial);
        }
    }

    pub(super) fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.answer(answer);
        }
        self.forget(request);
    }

    pub(super) fn forget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(Open::done) {
            self.requests.remove(&request);
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/engine/state.rs"]
mod tests;
