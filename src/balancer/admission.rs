//! Admission: whether a request is sent at once, queued or shed, and with what Retry-After.
//!
//! The concurrency limit is divided into slices, one for each priority level, each with a share of the limit
//! by its priority. A request is admitted while the instance is below its limit, or its slice below the
//! slice's part of it. A request that is not admitted, or for which there is no endpoint, waits in its
//! slice's queue.
//!
//! A request that is not sent at once is shed
//! - on arrival, if the queues are as long as the limit (unless it waits for its key), or if its deadline is
//!   at most two ticks of the balancer away (one of a class that the settings lack is failed);
//! - on a tick, if its time in its queue is over: an eighth of the shortest latency objective at the tier
//!   that clients reach, a half behind it; if it waits for an endpoint or for its key, the objective of its
//!   class less the mean latency; at most until two ticks before its deadline;
//! - outside, by the proxy: over `max_open_requests`, late in a stop, on a connection over the limit.
//!
//! A request that is shed, or whose attempts have failed, is answered by [`Balancer::reject_or_fail`]:
//! rejected with a Retry-After between one and two eighths of its class's objective, if a further try is
//! harmless.

use super::Balancer;
use super::priority::{SAME_PRIORITY, priorities};
use super::request::Request;
use crate::interface::*;
use std::collections::VecDeque;

/// Share of the shortest latency objective that a request waits in its queue, at the tier that clients reach.
const QUEUE_SHARE_FIRST_TIER: f64 = 0.125;
/// The same at the tiers behind it, where a rejection wastes the work already done for the request.
const QUEUE_SHARE_INNER_TIER: f64 = 0.5;
/// Shortest Retry-After, as a share of the class's latency objective; a random part of up to as much is
/// added.
const RETRY_AFTER_SHARE: f64 = 0.125;
/// Share of the limit in flight from which the limit counts as reached.
const LIMIT_REACHED_SHARE: f64 = 0.8;
/// Time constant (ms) with which the peak of calls in flight is forgotten.
const PEAK_DECAY_MS: f64 = 5000.0;

/// A priority level's part of the limit, and its queue.
#[derive(Default)]
struct Slice {
    share_of_limit: f64,
    in_flight: f64,
    queue: VecDeque<RequestId>,
}

/// The slices of a class.
struct ClassSlices {
    within_quota: usize,
    over_quota: usize,
}

/// The slices, and the calls in flight over all of them.
pub(super) struct Admission {
    /// The highest priority first.
    slices: Vec<Slice>,
    /// Of each class.
    class_slices: Vec<ClassSlices>,
    /// Longest time in a slice's queue. One for all classes: in a full queue the class with the longer time
    /// would take every place of its slice.
    queue_ms: f64,
    in_flight: f64,
    /// Most calls in flight in the last seconds.
    pub(super) peak_in_flight: f64,
}

impl Admission {
    pub(super) fn new(settings: &Settings) -> Self {
        let priorities = priorities(settings);
        let may_exceed_quota = settings.tier == 0 && !settings.tenants.is_empty();
        let mut levels: Vec<f64> = Vec::new();
        for priority in &priorities {
            levels.push(priority.within_quota);
            if may_exceed_quota {
                levels.push(priority.over_quota);
            }
        }
        levels.sort_by(|a, b| b.total_cmp(a));
        levels.dedup_by(|a, b| (*a - *b).abs() < SAME_PRIORITY);
        // A level only of requests over their tenant's quota has no share, only the minimum of one slot.
        let has_share =
            |level: f64| priorities.iter().any(|p| (p.within_quota - level).abs() < SAME_PRIORITY);
        let share = |level: &f64| if has_share(*level) { *level } else { 0.0 };
        let sum = levels.iter().map(share).sum::<f64>().max(1e-9);
        let slice_of = |priority: f64| {
            levels.iter().position(|level| (level - priority).abs() < SAME_PRIORITY).unwrap_or(0)
        };
        let class_slices = priorities.iter().map(|p| ClassSlices {
            within_quota: slice_of(p.within_quota),
            over_quota: slice_of(p.over_quota),
        });
        let queue_share = if settings.tier == 0 { QUEUE_SHARE_FIRST_TIER } else { QUEUE_SHARE_INNER_TIER };
        Admission {
            class_slices: class_slices.collect(),
            slices: levels
                .iter()
                .map(|l| Slice { share_of_limit: share(l) / sum, ..Slice::default() })
                .collect(),
            queue_ms: queue_share
                * settings.classes.iter().map(|c| c.latency_objective_ms).fold(f64::MAX, f64::min),
            in_flight: 0.0,
            peak_in_flight: 0.0,
        }
    }

    fn slice_of(&self, class: usize, over_quota: bool) -> usize {
        let slices = &self.class_slices[class];
        if over_quota { slices.over_quota } else { slices.within_quota }
    }

    /// Whether the limit allows one more call in the slice: below the limit any, past it up to the slice's
    /// own part, and always one.
    fn admits(&self, slice: usize, limit: f64) -> bool {
        let limit = limit.floor();
        let slice = &self.slices[slice];
        self.in_flight < limit || slice.in_flight < (limit * slice.share_of_limit).ceil().max(1.0)
    }

    pub(super) fn enqueue(&mut self, slice: usize, id: RequestId) {
        self.slices[slice].queue.push_back(id);
    }

    fn queued(&self) -> usize {
        self.slices.iter().map(|slice| slice.queue.len()).sum()
    }

    pub(super) fn decay_peak(&mut self, passed_ms: f64) {
        self.peak_in_flight = self.in_flight.max(self.peak_in_flight * (1.0 - passed_ms / PEAK_DECAY_MS));
    }
}

impl Balancer {
    /// Sends, queues or sheds a request that arrived.
    ///
    /// Failure: work past the tier's capacity delays all requests until none is in time. Inputs: calls in
    /// flight against the limit and the slice's part of it, the queues' lengths, the tenant's quota, the
    /// deadline (ms). A request that waits for its key is not in a slice's queue and takes no slot. One with
    /// less time left than two ticks is never queued: no tick would shed it in time.
    pub(super) fn on_request(&mut self, now_ms: f64, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.request;
        let class = usize::from(arrival.class);
        let Some(&Class { latency_objective_ms, in_order, .. }) = self.settings.classes.get(class) else {
            return out.push(Action::Fail { request: id });
        };
        self.retry_budget.earn(self.concurrency_limit.limit);
        let over_quota = self.settings.tier == 0 && self.takes_over_quota(now_ms, arrival.tenant);
        let slice = self.admission.slice_of(class, over_quota);
        let latest_ms = arrival.deadline_ms - 2.0 * self.tick_interval_ms();
        let key = if in_order { arrival.key } else { 0 };
        let waits_for_key = self.join_key_queue(key, id);
        let admitted = !waits_for_key && self.admission.slices[slice].queue.is_empty() && self.admits(slice);
        // Admitted without an endpoint, or behind its key, it waits while an answer can still be in time.
        let queue_ms = if admitted || waits_for_key {
            latency_objective_ms - self.concurrency_limit.mean_ms
        } else {
            self.admission.queue_ms
        };
        let queue_deadline_ms = (now_ms + queue_ms).min(latest_ms);
        self.requests.insert(id, Request::new(arrival, key, slice, queue_deadline_ms));
        if admitted && self.send(now_ms, id, out) {
            return;
        }
        self.concurrency_limit.note_reached(!admitted && !waits_for_key);
        let queues_full = self.admission.queued() as f64 >= self.concurrency_limit.limit;
        if !waits_for_key && queues_full || latest_ms <= now_ms {
            self.reject_or_fail(now_ms, id, out);
        } else if !waits_for_key {
            self.admission.enqueue(slice, id);
        }
    }

    fn admits(&self, slice: usize) -> bool {
        self.admission.admits(slice, self.concurrency_limit.limit)
    }

    /// Sends queued requests that are admitted by now, the highest priority first.
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

    /// Goes through all queues on a tick: sheds the requests whose time in the queue is over, and sends those
    /// that are admitted and for which there is an endpoint.
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

    /// Gives a request up: rejects it, with a Retry-After, where a further try by the client is harmless, and
    /// fails it otherwise.
    ///
    /// Failure: clients that are shed together return together. The Retry-After (ms) is drawn between one and
    /// two eighths of the class's latency objective, and is at most what clients heed; 0 where the site gives
    /// clients none.
    pub(super) fn reject_or_fail(&mut self, now_ms: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if self.client_may_retry(now_ms, request) {
            let shortest_ms = self.settings.classes[request.class].latency_objective_ms * RETRY_AFTER_SHARE;
            let drawn_ms = shortest_ms * (1.0 + self.rng.f64());
            let caps = &self.settings.caps;
            let retry_after_ms = if caps.retry_after { drawn_ms.min(caps.max_retry_after_ms) } else { 0.0 };
            out.push(Action::Reject { request: id, retry_after_ms });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.end_request(now_ms, id, out);
    }

    /// Counts a call against the limit.
    pub(super) fn acquire_slot(&mut self, class: usize, slice: usize) {
        self.change_in_flight(class, slice, 1.0);
        self.admission.peak_in_flight = self.admission.peak_in_flight.max(self.admission.in_flight);
        let reached = self.admission.in_flight >= LIMIT_REACHED_SHARE * self.concurrency_limit.limit;
        self.concurrency_limit.note_reached(reached);
    }

    /// Counts a call against the limit no longer.
    pub(super) fn release_slot(&mut self, class: usize, slice: usize) {
        self.change_in_flight(class, slice, -1.0);
    }

    fn change_in_flight(&mut self, class: usize, slice: usize, by: f64) {
        self.admission.in_flight += by;
        self.admission.slices[slice].in_flight += by;
        self.concurrency_limit.classes[class].in_flight += by;
    }
}
