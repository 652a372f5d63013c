//! The lifecycle of a request. A request is tracked from its arrival until it is answered and all its
//! attempts have ended. `admission` decides whether it is admitted, `selection` which endpoint it is sent to,
//! and `retry` whether it is sent again.

use super::Balancer;
use super::endpoints::Call;
use crate::interface::*;

/// One attempt of a request at a backend.
pub(super) struct Attempt {
    pub(super) backend: BackendId,
    pub(super) zone: u16,
    pub(super) cell: u16,
    pub(super) sent_ms: f64,
    pub(super) in_flight: bool,
    /// Whether the outcome proved that the attempt never ran on the backend.
    pub(super) never_ran: bool,
    /// Whether the attempt counts against the concurrency limit.
    pub(super) holds_slot: bool,
}

/// A request that is not answered yet or still has attempts in flight.
pub(super) struct Request {
    /// Ordering key of a request whose class is ordered; 0 otherwise.
    pub(super) key: u64,
    pub(super) class: usize,
    pub(super) slice: usize,
    pub(super) deadline_ms: f64,
    /// Time (ms) until which the request may wait in a queue.
    pub(super) queue_deadline_ms: f64,
    ended: bool,
    /// Whether the request body is still incomplete, so that no backend can begin to process it.
    pub(super) body_pending: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Request {
    pub(super) fn new(arrival: &Arrival, key: u64, slice: usize, queue_deadline_ms: f64) -> Self {
        Request {
            key,
            class: usize::from(arrival.class),
            slice,
            deadline_ms: arrival.deadline_ms,
            queue_deadline_ms,
            ended: false,
            body_pending: arrival.body_pending,
            attempts: Vec::new(),
        }
    }

    /// Returns whether it is certain that no attempt ran.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.never_ran)
    }

    /// Returns the first attempt that may have run.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }
}

/// An attempt that has just ended, and the state of its request.
struct EndedAttempt {
    class: usize,
    slice: usize,
    sent_ms: f64,
    holds_slot: bool,
    queue_deadline_ms: f64,
    request_over: bool,
    never_ran: bool,
    others_in_flight: bool,
    may_send_more: bool,
}

impl Balancer {
    /// Sends the next attempt of a request and returns whether a connection and an endpoint could take it.
    pub(super) fn send(&mut self, now_ms: f64, id: RequestId, out: &mut Vec<Action>) -> bool {
        if !self.requests.get(&id).is_some_and(|request| self.has_connection(request.slice)) {
            return false;
        }
        let Some(backend) = self.select(now_ms, id) else { return false };
        self.take_fair_turn(backend);
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(endpoint) = self.endpoints.get_mut(&backend) else { return false };
        endpoint.warm_up_tokens -= 1.0;
        self.connections.take();
        request.attempts.push(Attempt {
            backend,
            zone: endpoint.entry.zone,
            cell: endpoint.entry.cell,
            sent_ms: now_ms,
            in_flight: true,
            never_ran: false,
            holds_slot: false,
        });
        out.push(Action::Send { request: id, backend, deadline_ms: request.deadline_ms });
        if !request.body_pending {
            self.begin_attempt(now_ms, id);
        }
        true
    }

    /// Counts and times the attempt in flight as a call, once its backend can begin to process the request.
    fn begin_attempt(&mut self, now_ms: f64, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.iter_mut().rfind(|a| a.in_flight) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&attempt.backend) else { return };
        if endpoint.calls.is_empty() {
            endpoint.last_answer_ms = now_ms;
        }
        endpoint.calls.push_back(Call { request: id, sent_ms: now_ms });
        self.outliers.endpoints_with_calls.insert(attempt.backend);
        attempt.sent_ms = now_ms;
        attempt.holds_slot = !endpoint.ejected();
        if attempt.holds_slot {
            let (class, slice) = (request.class, request.slice);
            self.acquire_slot(class, slice);
        }
    }

    /// Returns the last time (ms) at which a request with this deadline may wait in a queue.
    pub(super) fn latest_queue_ms(&self, deadline_ms: f64) -> f64 {
        deadline_ms - 2.0 * self.tick_interval_ms()
    }

    /// Handles the arrival of a request's last body byte. Timing begins only now, because the time that the
    /// client took to send the body must not count as the backend's latency. A queued request may wait no
    /// longer than its deadline allows.
    pub(super) fn on_body_complete(&mut self, now_ms: f64, id: RequestId, deadline_ms: f64) {
        let latest_ms = self.latest_queue_ms(deadline_ms);
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.body_pending) else { return };
        request.body_pending = false;
        request.deadline_ms = deadline_ms;
        request.queue_deadline_ms = request.queue_deadline_ms.min(latest_ms);
        self.begin_attempt(now_ms, id);
    }

    /// Ends a request: sends no further attempts and cancels those in flight where the settings allow it. The
    /// request keeps its place in its key's queue until all its attempts have ended.
    pub(super) fn end_request(&mut self, now_ms: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let ended_before = std::mem::replace(&mut request.ended, true);
        let in_flight: Vec<usize> =
            (0..request.attempts.len()).filter(|&i| request.attempts[i].in_flight).collect();
        if in_flight.is_empty() {
            let key = request.key;
            self.requests.remove(&id);
            self.leave_key_queue(now_ms, key, id);
        } else if !ended_before && self.settings.caps.cancelling {
            let cancel = |&i: &usize| Action::Cancel { request: id, attempt: i as AttemptNo };
            out.extend(in_flight.iter().map(cancel));
        }
    }

    /// Handles the end of an attempt: the request ends, is retried, waits for an endpoint, or is given up.
    pub(super) fn on_resolved(&mut self, now_ms: f64, resolved: &Resolved, out: &mut Vec<Action>) {
        let id = resolved.request;
        let Some(ended) = self.close_attempt(now_ms, resolved) else { return };
        if ended.holds_slot {
            self.release_slot(ended.class, ended.slice);
        }
        self.record_outcome(now_ms, resolved, ended.class, ended.sent_ms);
        self.close_idle_if_draining(resolved.backend, out);
        if ended.request_over {
            return self.end_request(now_ms, id, out);
        }
        let retryable = ended.may_send_more && resolved.outcome != Outcome::Malformed;
        if ended.others_in_flight || retryable && self.retry(now_ms, id, ended.never_ran, out) {
            return;
        }
        // A request without attempts left must not be queued: it would leave the queue unsent and be queued
        // again, without end.
        if ended.never_ran && now_ms < ended.queue_deadline_ms && ended.may_send_more {
            return self.admission.enqueue(ended.slice, id);
        }
        self.reject_or_fail(now_ms, id, out);
    }

    /// Marks an attempt as ended; returns `None` if it is unknown or not in flight.
    fn close_attempt(&mut self, now_ms: f64, resolved: &Resolved) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&resolved.request)?;
        let attempt = request.attempts.get_mut(usize::from(resolved.attempt)).filter(|a| a.in_flight)?;
        attempt.in_flight = false;
        attempt.never_ran = resolved.outcome.never_ran();
        let (sent_ms, holds_slot) = (attempt.sent_ms, attempt.holds_slot);
        let max_attempts = self.settings.caps.max_attempts as usize;
        let ended = EndedAttempt {
            class: request.class,
            slice: request.slice,
            sent_ms,
            holds_slot,
            queue_deadline_ms: request.queue_deadline_ms,
            request_over: resolved.request_ended || request.ended,
            never_ran: request.never_ran(),
            others_in_flight: request.attempts.iter().any(|a| a.in_flight),
            may_send_more: request.attempts.len() < max_attempts && !resolved.body_consumed,
        };
        let key = request.key;
        self.block_key_after(now_ms, key, resolved.outcome);
        Some(ended)
    }
}
