//! The phase `admit`: hands a request that was read to the decision module, and waits for the one way in which it ends.
//!
//! Acts once for each request. Owns the request's id and its [`CallerGuard`], which reports the end when it is dropped.

use super::Engine;
use super::clock::millis;
use super::request::{AnswerState, CallerGuard, ParsedRequest, PendingRequest, RequestEnd, backstop};
use super::state::hash;
use crate::body::{BodyState, RemainingBody};
use crate::upstream::{DEADLINE_MARGIN, UpstreamRequest, deadline_margin};
use load_balancer::interface::{Arrival, Event, Idempotency, RequestId};
use load_balancer::replay::Ending;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// A request that the module has. Dropped before it has ended, its client has gone.
pub struct AdmittedRequest {
    caller: CallerGuard,
    end: oneshot::Receiver<RequestEnd>,
    received_at: Instant,
    client_timeout: Duration,
    /// The part of its body that is still being received.
    remaining_body: Option<Rc<RemainingBody>>,
}

/// A request that the module never had: too many are open, or the process stops and no time is left for an attempt.
#[derive(Debug, thiserror::Error)]
#[error("not admitted")]
pub struct NotAdmitted;

impl Engine {
    /// Hands a request to the module, unless it must not be admitted.
    pub fn admit(self: &Rc<Self>, request: ParsedRequest) -> Result<AdmittedRequest, NotAdmitted> {
        let ParsedRequest { call, class, tenant, key, received_at, client_timeout } = request;
        // Guards against requests that are sent and then lost at the SIGKILL by the platform: with no time left for an
        // attempt it is rejected, and the client may send it to another proxy without harm.
        let too_late = |last: Instant| last.saturating_duration_since(received_at) <= DEADLINE_MARGIN;
        if self.last_answer_at.get().is_some_and(too_late) {
            return Err(NotAdmitted);
        }
        let remaining_body = call.remaining_body.clone();
        let deadline_ms = match &remaining_body {
            // The client's time counts from the last byte, which has not arrived.
            Some(_) => f64::MAX,
            None => self.deadline_ms(received_at, client_timeout),
        };
        let trace_id = self.observer.as_ref().map(|_| call.id.clone());
        let (answer, end) = oneshot::channel();
        let request = self.add_pending(call, class, answer)?;
        let caller = CallerGuard { engine: self.clone(), request, ending: Cell::new(Ending::Left) };
        let arrival = Arrival {
            request,
            key: key.map_or(0, |key| hash(&key).max(1)),
            class,
            tenant,
            deadline_ms,
            body_pending: remaining_body.is_some(),
        };
        self.observe_arrival(trace_id, &arrival, client_timeout);
        self.handle_event(Event::Request(arrival));
        Ok(AdmittedRequest { caller, end, received_at, client_timeout, remaining_body })
    }

    /// Keeps a request until its end; its id. Rejects it where too many are open.
    fn add_pending(
        &self,
        call: UpstreamRequest,
        class: u16,
        answer: oneshot::Sender<RequestEnd>,
    ) -> Result<RequestId, NotAdmitted> {
        let state = &mut *self.state.borrow_mut();
        if state.requests.len() >= self.platform.site.max_open_requests {
            return Err(NotAdmitted);
        }
        let id = state.next_request_id;
        state.next_request_id += 1;
        let pending = PendingRequest {
            call: Rc::new(call),
            answer: AnswerState::Pending(answer),
            attempts: Vec::new(),
            dedup_window: self.dedup_window(class),
            first_sent_at: None,
        };
        state.requests.insert(id, pending);
        Ok(id)
    }

    /// How long a client that waits from `from` on may be kept waiting: its own time, or less where the process stops.
    fn time_allowed(&self, from: Instant, client_timeout: Duration) -> Duration {
        let last_answer_at = self.last_answer_at.get();
        last_answer_at.map_or(client_timeout, |last| client_timeout.min(last.saturating_duration_since(from)))
    }

    /// The module's deadline for a request whose last byte arrived at `from`.
    fn deadline_ms(&self, from: Instant, client_timeout: Duration) -> f64 {
        let allowed = self.time_allowed(from, client_timeout);
        self.clock.at(from + allowed - deadline_margin(allowed))
    }

    /// For how long backends recognise repeats of a class by their key. One clock step (`tick_ms`) less than the settings
    /// say, as in the module's own rule (`balancer/retry.rs`).
    fn dedup_window(&self, class: u16) -> Option<Duration> {
        match self.platform.settings.classes[usize::from(class)].idempotency {
            Idempotency::Keyed { dedup_window_ms, .. } => {
                Some(millis(dedup_window_ms - self.platform.settings.tick_ms))
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}

impl AdmittedRequest {
    /// Waits for the end of the request: the module's, or the deadline's if the module is late.
    pub async fn ended(mut self) -> RequestEnd {
        let engine = self.caller.engine.clone();
        let mut complete_at = self.received_at;
        if let Some(body) = self.remaining_body.take() {
            let state = tokio::select! {
                biased;
                end = &mut self.end => return self.caller.note(end.unwrap_or(RequestEnd::UpstreamFailed)),
                state = body.settled() => state,
            };
            let BodyState::Complete(at) = state else { return RequestEnd::ClientGone };
            complete_at = at;
            let deadline_ms = engine.deadline_ms(at, self.client_timeout);
            engine.handle_event(Event::BodyComplete { request: self.caller.request, deadline_ms });
        }
        let allowed = engine.time_allowed(complete_at, self.client_timeout);
        let end = tokio::select! {
            biased;
            end = &mut self.end => end.unwrap_or(RequestEnd::UpstreamFailed),
            // Guards against an event loop that is late and a module that does not answer: either would show as a client
            // that waits in vain. This fires only after the module's own deadline, which is earlier by `deadline_margin`.
            () = sleep_until(complete_at + allowed - backstop(allowed)) => RequestEnd::DeadlineExceeded,
        };
        self.caller.note(end)
    }
}
