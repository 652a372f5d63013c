//! Key order: requests of ordered classes with the same key run one at a time, in the order of arrival. Each
//! key with open requests has a queue, and only its head may be dispatched. When the head and all its
//! attempts have ended, the next request joins the queue of its slice like any other. After an attempt that
//! may still be running, the key is blocked for `key_settle_ms`.

use super::Balancer;
use crate::interface::{Action, Outcome, RequestId};
use std::collections::VecDeque;

/// Open requests of one key, in the order of arrival.
#[derive(Default)]
pub(super) struct KeyQueue {
    ids: VecDeque<RequestId>,
    head_dispatched: bool,
    blocked_until_ms: f64,
}

impl Balancer {
    /// Appends a request to its key's queue and returns whether it must wait there. Key 0 means no key.
    pub(super) fn join_key_queue(&mut self, key: u64, id: RequestId) -> bool {
        if key == 0 {
            return false;
        }
        let waits = self.key_queues.contains_key(&key);
        let queue = self.key_queues.entry(key).or_default();
        queue.ids.push_back(id);
        queue.head_dispatched |= !waits;
        waits
    }

    /// Removes a request whose attempts have all ended, and dispatches the next request of its key.
    pub(super) fn leave_key_queue(&mut self, now_ms: f64, key: u64, id: RequestId) {
        let Some(queue) = self.key_queues.get_mut(&key) else { return };
        // Requests behind the head have not been dispatched, so their end leaves the head's state unchanged.
        queue.head_dispatched &= queue.ids.front() != Some(&id);
        queue.ids.retain(|&other| other != id);
        self.dispatch_key_head(now_ms, key);
    }

    /// Blocks a key for `key_settle_ms` after an attempt that may still be running.
    pub(super) fn block_key_after(&mut self, now_ms: f64, key: u64, outcome: Outcome) {
        let may_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if may_run && let Some(queue) = self.key_queues.get_mut(&key) {
            queue.blocked_until_ms = now_ms + self.settings.rules.key_settle_ms;
        }
    }

    /// Moves the head of a key's queue to the queue of its slice, unless it was dispatched or the key is
    /// blocked.
    fn dispatch_key_head(&mut self, now_ms: f64, key: u64) {
        let Some(queue) = self.key_queues.get_mut(&key) else { return };
        if queue.head_dispatched || now_ms <= queue.blocked_until_ms {
            return;
        }
        let head = queue.ids.front().and_then(|id| self.requests.get(id).map(|r| (*id, r.slice)));
        match head {
            Some((id, slice)) => {
                queue.head_dispatched = true;
                self.admission.enqueue(slice, id);
            }
            None => drop(self.key_queues.remove(&key)),
        }
    }

    /// Gives up, on a tick, the requests that have waited too long for their key.
    pub(super) fn shed_overdue_in_key_queues(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        let overdue = |id: &RequestId| self.requests.get(id).is_some_and(|r| now_ms >= r.queue_deadline_ms);
        let waiting =
            self.key_queues.values().flat_map(|q| q.ids.iter().skip(usize::from(q.head_dispatched)));
        for id in waiting.copied().filter(overdue).collect::<Vec<_>>() {
            self.reject_or_fail(now_ms, id, out);
        }
    }

    /// Dispatches, on a tick, the heads of keys that are no longer blocked.
    pub(super) fn dispatch_key_heads(&mut self, now_ms: f64) {
        for key in self.key_queues.keys().copied().collect::<Vec<_>>() {
            self.dispatch_key_head(now_ms, key);
        }
    }
}
