//! The queues of the slices: their requests are sent in descending order of priority as soon as they may be,
//! and shed once their queue deadlines have passed.

use super::Balancer;
use super::admission::Admission;
use crate::interface::*;

impl Admission {
    /// Takes the latest queued request of the lowest slice below `slice` that has one.
    pub(super) fn pop_below(&mut self, slice: usize) -> Option<RequestId> {
        self.slices.iter_mut().skip(slice + 1).rev().find_map(|lower| lower.queue.pop_back())
    }
}

impl Balancer {
    /// Sends the queued requests that are now admitted, in descending order of priority.
    pub(super) fn send_queued(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        for slice in 0..self.admission.slices.len() {
            for _ in 0..self.admission.slices[slice].queue.len() {
                if !self.admits(slice) {
                    break;
                }
                let Some(&id) = self.admission.slices[slice].queue.front() else { break };
                if self.requests.contains_key(&id) && !self.send(now_ms, id, out) {
                    break;
                }
                self.admission.slices[slice].queue.pop_front();
            }
        }
    }

    /// Sweeps all queues on a tick: sheds the requests whose queue deadline has passed, and sends those that
    /// are admitted and for which an endpoint is available.
    pub(super) fn sweep_queues(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        for slice in 0..self.admission.slices.len() {
            for _ in 0..self.admission.slices[slice].queue.len() {
                let admitted = self.admits(slice);
                let Some(&id) = self.admission.slices[slice].queue.front() else { break };
                let queue_deadline_ms = self.requests.get(&id).map(|r| r.queue_deadline_ms);
                let overdue = queue_deadline_ms.is_some_and(|deadline_ms| now_ms >= deadline_ms);
                if overdue {
                    self.reject_or_fail(now_ms, id, out);
                }
                if overdue || queue_deadline_ms.is_none() || admitted && self.send(now_ms, id, out) {
                    self.admission.slices[slice].queue.pop_front();
                } else {
                    self.admission.slices[slice].queue.rotate_left(1);
                }
            }
        }
    }
}
