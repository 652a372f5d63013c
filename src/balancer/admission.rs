//! Admission control: sends, queues or sheds each request, and computes the Retry-After of those it sheds.
//!
//! The concurrency limit is divided into slices, one per priority level, each with a share of the limit in
//! proportion to its priority. A request is admitted while the instance is below its limit, or the request's
//! slice below its share. A request that is not admitted, or for which no endpoint is available, waits in its
//! slice's queue.
//!
//! A request that is not sent at once is shed
//! - on arrival, if the queues are as long as the limit (unless it waits for its key, or for a connection and
//!   a lower slice gives up a place; `connections`), or if its deadline is
//!   at most two ticks of the balancer away (one of a class that the settings lack is failed);
//! - on a tick, once its queue deadline has passed: an eighth of the shortest latency objective at the tier
//!   that clients reach, a half at the tiers behind it; if it waits for an endpoint or for its key, the
//!   objective of its class less the mean latency; at most until two ticks before its deadline;
//! - by the proxy itself: over `max_open_requests`, late in a shutdown, on a busy connection over the limit.
//!
//! [`Balancer::reject_or_fail`] answers shed requests and those whose attempts failed: it rejects them if a
//! client retry is harmless, with a Retry-After (where the settings enable it) of one to two eighths of the
//! class's latency objective. Requests that the proxy itself sheds get no Retry-After.

use super::Balancer;
use super::priority::{SAME_PRIORITY, priorities};
use super::request::Request;
use crate::interface::*;
use std::collections::VecDeque;

/// Longest queue time at the tier that clients reach, as a share of the shortest latency objective.
const QUEUE_SHARE_FIRST_TIER: f64 = 0.125;
/// Longest queue time at inner tiers, as a share of the shortest latency objective. It is longer than at the
/// first tier because a rejection there wastes the work already done for the request.
const QUEUE_SHARE_INNER_TIER: f64 = 0.5;
/// Shortest Retry-After, as a share of the class's latency objective; up to as much is added at random.
const RETRY_AFTER_SHARE: f64 = 0.125;
/// Ratio of calls in flight to the concurrency limit from which the limit counts as reached.
const LIMIT_REACHED_SHARE: f64 = 0.8;
/// Time constant (ms) with which the peak of calls in flight decays.
const PEAK_DECAY_MS: f64 = 5000.0;

/// A priority level's share of the concurrency limit, and its queue.
#[derive(Default)]
pub(super) struct Slice {
    share_of_limit: f64,
    in_flight: f64,
    pub(super) queue: VecDeque<RequestId>,
}

/// Indices of the slices that a class's requests belong to.
struct ClassSlices {
    within_quota: usize,
    over_quota: usize,
}

/// State of admission control: the slices and the calls in flight over all of them.
pub(super) struct Admission {
    /// Slices in descending order of priority.
    pub(super) slices: Vec<Slice>,
    /// Slice indices by class.
    class_slices: Vec<ClassSlices>,
    /// Longest time (ms) in a slice's queue. All classes share one value: with separate ones, the class with
    /// the longest time would take up every place of a full queue.
    queue_ms: f64,
    in_flight: f64,
    /// Peak of the calls in flight, decaying over some seconds.
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
        // A level that only holds requests over their tenant's quota gets no share, only the minimum slot.
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

    /// Returns whether the slice may have one more call in flight: any slice may while the instance is below
    /// its limit; beyond it, a slice may up to its own share, which is at least one call.
    fn admits(&self, slice: usize, limit: f64) -> bool {
        let limit = limit.floor();
        let slice = &self.slices[slice];
        self.in_flight < limit || slice.in_flight < (limit * slice.share_of_limit).ceil().max(1.0)
    }

    pub(super) fn enqueue(&mut self, slice: usize, id: RequestId) {
        self.slices[slice].queue.push_back(id);
    }

    pub(super) fn queued(&self) -> usize {
        self.slices.iter().map(|slice| slice.queue.len()).sum()
    }

    pub(super) fn decay_peak(&mut self, passed_ms: f64) {
        self.peak_in_flight = self.in_flight.max(self.peak_in_flight * (1.0 - passed_ms / PEAK_DECAY_MS));
    }
}

impl Balancer {
    /// Sends, queues or sheds a request that arrived.
    ///
    /// Guards against overload: work beyond the tier's capacity delays all requests until none is in time.
    /// Inputs: calls in flight against the limit and the slice's share, queue lengths, the tenant's quota,
    /// and the deadline (ms). A request that waits for its key is not in a slice's queue and takes no slot.
    /// One with less than two ticks left is never queued, because no tick would shed it in time.
    pub(super) fn on_request(&mut self, now_ms: f64, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.request;
        let class = usize::from(arrival.class);
        let Some(&Class { latency_objective_ms, in_order, .. }) = self.settings.classes.get(class) else {
            return out.push(Action::Fail { request: id });
        };
        self.retry_budget.earn(self.concurrency_limit.limit);
        let over_quota = self.settings.tier == 0 && self.takes_over_quota(now_ms, arrival.tenant);
        let slice = self.admission.slice_of(class, over_quota);
        let latest_ms = self.latest_queue_ms(arrival.deadline_ms);
        let key = if in_order { arrival.key } else { 0 };
        let waits_for_key = self.join_key_queue(key, id);
        let admitted = !waits_for_key && self.admission.slices[slice].queue.is_empty() && self.admits(slice);
        let has_connection = self.has_connection(slice);
        // Without an endpoint, or behind its key, a request waits while an answer can still be in time.
        let queue_ms = if admitted && has_connection || waits_for_key {
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
        let is_late = latest_ms <= now_ms;
        let lacks_place = !waits_for_key && queues_full;
        if is_late || lacks_place && (has_connection || !self.shed_lower(now_ms, slice, out)) {
            self.reject_or_fail(now_ms, id, out);
        } else if !waits_for_key {
            self.admission.enqueue(slice, id);
        }
    }

    pub(super) fn admits(&self, slice: usize) -> bool {
        self.admission.admits(slice, self.concurrency_limit.limit)
    }

    /// Gives up a request: rejects it, with a Retry-After, where a client retry is harmless, and fails it
    /// otherwise.
    ///
    /// Guards against synchronized client retries: the Retry-After (ms) is drawn between one and two eighths
    /// of the class's latency objective, and is at most what clients heed; 0 where the settings disable it.
    pub(super) fn reject_or_fail(&mut self, now_ms: f64, id: RequestId, out: &mut Vec<Action>) {
        self.count_shed(id);
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

    /// Counts a call against the concurrency limit.
    pub(super) fn acquire_slot(&mut self, class: usize, slice: usize) {
        self.change_in_flight(class, slice, 1.0);
        self.admission.peak_in_flight = self.admission.peak_in_flight.max(self.admission.in_flight);
        let reached = self.admission.in_flight >= LIMIT_REACHED_SHARE * self.concurrency_limit.limit;
        self.concurrency_limit.note_reached(reached);
    }

    /// Stops counting a call against the concurrency limit.
    pub(super) fn release_slot(&mut self, class: usize, slice: usize) {
        self.change_in_flight(class, slice, -1.0);
    }

    fn change_in_flight(&mut self, class: usize, slice: usize, by: f64) {
        self.admission.in_flight += by;
        self.admission.slices[slice].in_flight += by;
        self.concurrency_limit.classes[class].in_flight += by;
    }
}
