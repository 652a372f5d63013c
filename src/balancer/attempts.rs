//! A request's life: its attempts, their outcomes, and its end.

use super::Balancer;
use super::state::{Attempt, Request};
use crate::interface::*;

/// Share of the aim that a request is held: first tier, behind it.
pub(super) const HOLD: [f64; 2] = [0.125, 0.5];

impl Balancer {
    /// Sends the next attempt if a backend can take it.
    pub(super) fn send(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(to) = self.pick(now, id) else { return false };
        self.take_turn(to);
        let Some(r) = self.requests.get_mut(&id) else { return false };
        let Some(b) = self.backends.get_mut(&to) else { return false };
        b.cold_tokens -= 1.0; // means nothing once it is warm
        let place = (b.entry.zone, b.entry.cell);
        let attempt = Attempt { backend: to, place, sent: now, out: true, never_ran: false, counted: false };
        r.attempts.push(attempt);
        out.push(Action::Send { request: id, backend: to, deadline_ms: r.deadline });
        if !r.coming {
            self.begin(now, id);
        }
        true
    }

    /// The backend of the attempt that is out can begin: from now on it is a call in flight, and timed.
    pub(super) fn begin(&mut self, now: f64, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.iter_mut().rfind(|a| a.out) else { return };
        let Some(b) = self.backends.get_mut(&a.backend) else { return };
        if b.calls.is_empty() {
            b.heard = now;
        }
        b.calls.push_back((id, now));
        self.busy.insert(a.backend);
        (a.sent, a.counted) = (now, !b.ejected());
        let (counted, class, slice) = (a.counted, r.class, r.slice);
        if counted {
            self.count(class, slice, 1.0);
            self.peak = self.peak.max(self.inflight);
            self.limiter.used |= self.inflight >= 0.8 * self.limiter.total;
        }
    }

    /// A request's last byte came: how long its client took for it was no backend's time.
    pub(super) fn on_whole(&mut self, now: f64, id: RequestId, deadline: f64) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.coming) else { return };
        (r.coming, r.deadline) = (false, deadline);
        self.begin(now, id);
    }

    /// Ends a request: refused where a further try is harmless, failed otherwise.
    pub(super) fn finish(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let Class { idempotency: effect, latency_objective_ms: aim, .. } = self.s.classes[r.class];
        let all =
            matches!(effect, Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. });
        if self.repeatable(now, r) && (all || r.attempts.iter().all(|a| a.never_ran)) {
            let wait = (aim * HOLD[0] * (1.0 + self.rng.f64())).min(self.s.caps.max_retry_after_ms);
            let retry_after = if self.s.caps.retry_after { wait } else { 0.0 };
            out.push(Action::Reject { request: id, retry_after_ms: retry_after });
        } else {
            out.push(Action::Fail { request: id });
        }
        self.end(now, id, out);
    }

    /// Nothing more is owed or sent; what is still out is withdrawn where that is allowed.
    pub(super) fn end(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let first = !std::mem::replace(&mut r.ended, true);
        let still: Vec<usize> = (0..r.attempts.len()).filter(|&i| r.attempts[i].out).collect();
        if still.is_empty() {
            let key = r.key;
            self.requests.remove(&id);
            // Only the first in line can have been sent: its place is kept until all its outcomes are in.
            if let Some(line) = self.lines.get_mut(&key) {
                line.turn &= line.ids.front() != Some(&id);
                line.ids.retain(|&i| i != id);
                self.pass_turn(now, key);
            }
        } else if first && self.s.caps.cancelling {
            out.extend(still.iter().map(|&i| Action::Cancel { request: id, attempt: i as AttemptNo }));
        }
    }

    pub(super) fn on_resolved(&mut self, now: f64, e: &Resolved, out: &mut Vec<Action>) {
        let id = e.request;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(e.attempt)).filter(|a| a.out) else { return };
        (a.out, a.never_ran) = (false, e.outcome.never_ran());
        // After these it may still be running: the next of its key waits until the doubt has settled.
        if matches!(e.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled)
            && let Some(line) = self.lines.get_mut(&r.key)
        {
            line.rest_until = now + self.s.rules.key_settle_ms;
        }
        let (sent, counted, class, slice) = (a.sent, a.counted, r.class, r.slice);
        let over = e.request_ended || r.ended;
        let (hold_until, free_move) = (r.hold_until, r.attempts.iter().all(|a| a.never_ran));
        let still_out = r.attempts.iter().any(|a| a.out);
        let spare = r.attempts.len() < self.s.caps.max_attempts as usize && !e.body_consumed;
        if counted {
            self.count(class, slice, -1.0);
        }
        self.judge(now, e, class, sent);
        self.release(e.backend, out);
        if over {
            return self.end(now, id, out);
        }
        let again = spare && e.outcome != Outcome::Malformed;
        if still_out || again && self.resend(now, id, free_move, out) {
            return;
        }
        // Held only with an attempt to spare: those past the limit come back unsent, for ever.
        if free_move && now < hold_until && spare {
            return self.slices[slice].held.push_back(id);
        }
        self.finish(now, id, out);
    }

    /// Whether it may run again somewhere: nothing ran yet, it is harmless, or repeats are still dropped.
    fn repeatable(&self, now: f64, r: &Request) -> bool {
        match (r.attempts.iter().find(|a| !a.never_ran), self.s.classes[r.class].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (Some(first), Idempotency::Keyed { dedup_window_ms: window, .. }) => {
                now < first.sent + window - self.s.tick_ms
            }
            (Some(_), Idempotency::NonIdempotent) => false,
        }
    }

    /// Another attempt, within the class's effect, the deadline and, for what may have run, the retry budget.
    pub(super) fn resend(&mut self, now: f64, id: RequestId, free_move: bool, out: &mut Vec<Action>) -> bool {
        let r = &self.requests[&id];
        let allowed = self.repeatable(now, r);
        let left = r.attempts.len() < self.s.caps.max_attempts as usize && now + self.s.tick_ms < r.deadline;
        let sent = left && allowed && (free_move || self.retry_tokens >= 1.0) && self.send(now, id, out);
        if sent && !free_move {
            self.retry_tokens -= 1.0;
        }
        sent
    }
}
