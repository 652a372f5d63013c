//! The phase `admit`: passes a request to the balancer and waits for its end.
//!
//! Runs once for each request. Owns the request's id and its [`ClientGuard`], which reports the end when it is dropped.

use super::Engine;
use super::clock::millis;
use super::request::{AnswerState, ClientGuard, ParsedRequest, PendingRequest, RequestEnd, backstop};
use super::state::hash;
use crate::body::{BodyState, RemainingBody};
use crate::refusals::Shortage;
use crate::upstream::{DEADLINE_MARGIN, UpstreamRequest, deadline_margin};
use load_balancer::interface::{Arrival, Event, Idempotency, RequestId};
use load_balancer::replay::Ending;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

/// A request that was passed to the balancer. Dropping it before its end means that the client has left.
pub struct AdmittedRequest {
    guard: ClientGuard,
    end: oneshot::Receiver<RequestEnd>,
    received_at: Instant,
    client_timeout: Duration,
    /// The part of the request's body that is still being received.
    remaining_body: Option<Rc<RemainingBody>>,
}

/// The error for a request that is not passed to the balancer because too many requests are open, or because the
/// process stops and no time is left for an attempt.
#[derive(Debug, thiserror::Error)]
#[error("too many requests are open, or the process stops and no time is left for an attempt")]
pub struct NotAdmitted;

impl Engine {
    /// Passes a request to the balancer, unless too many are open or no time is left before the process stops.
    pub fn admit(self: &Rc<Self>, request: ParsedRequest) -> Result<AdmittedRequest, NotAdmitted> {
        let ParsedRequest { call, class, tenant, key, received_at, client_timeout } = request;
        // A request that is sent with no time left would be lost at the platform's SIGKILL. It is rejected instead,
        // so that the client can safely send it to another proxy.
        let too_late = |last: Instant| last.saturating_duration_since(received_at) <= DEADLINE_MARGIN;
        if self.last_answer_at.get().is_some_and(too_late) {
            return Err(NotAdmitted);
        }
        let remaining_body = call.remaining_body.clone();
        let deadline_ms = match &remaining_body {
            // The client's timeout begins with the last byte, which has not arrived.
            Some(_) => f64::MAX,
            None => self.deadline_ms(received_at, client_timeout),
        };
        let trace_id = self.observer.as_ref().map(|_| call.id.clone());
        let (answer, end) = oneshot::channel();
        let request = self.add_pending(call, class, answer)?;
        let guard = ClientGuard { engine: self.clone(), request, ending: Cell::new(Ending::Left) };
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
        Ok(AdmittedRequest { guard, end, received_at, client_timeout, remaining_body })
    }

    /// Adds a request to the open ones and returns its id. Fails if too many are open.
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

    /// Returns how long a client whose timeout begins at `from` may wait: its own timeout, or less if the process
    /// stops.
    fn time_allowed(&self, from: Instant, client_timeout: Duration) -> Duration {
        let last_answer_at = self.last_answer_at.get();
        last_answer_at.map_or(client_timeout, |last| client_timeout.min(last.saturating_duration_since(from)))
    }

    /// Returns the balancer's deadline for a request whose last byte arrived at `from`, in its milliseconds.
    fn deadline_ms(&self, from: Instant, client_timeout: Duration) -> f64 {
        let allowed = self.time_allowed(from, client_timeout);
        self.clock.at(from + allowed - deadline_margin(allowed))
    }

    /// Returns how long backends recognise repeats of a class by their idempotency key. One clock step (`tick_ms`) is
    /// subtracted from the configured window, as in the balancer's own rule (`balancer/retry.rs`).
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
    /// Waits for the end of the request, which the balancer decides, or the deadline if the balancer is late.
    pub async fn ended(mut self) -> RequestEnd {
        let engine = self.guard.engine.clone();
        let mut complete_at = self.received_at;
        if let Some(body) = self.remaining_body.take() {
            let state = tokio::select! {
                biased;
                end = &mut self.end => return self.guard.record_end(end.unwrap_or(RequestEnd::UpstreamFailed)),
                state = body.settled() => state,
            };
            complete_at = match state {
                BodyState::Complete(at) => at,
                // No backend can have it whole.
                BodyState::Overdue => {
                    engine.pool.refusals.add(Shortage::Memory, 1);
                    return self.guard.record_end(RequestEnd::Rejected { retry_after: None });
                }
                _ => return RequestEnd::ClientGone,
            };
            let deadline_ms = engine.deadline_ms(complete_at, self.client_timeout);
            engine.handle_event(Event::BodyComplete { request: self.guard.request, deadline_ms });
        }
        let allowed = engine.time_allowed(complete_at, self.client_timeout);
        let end = tokio::select! {
            biased;
            end = &mut self.end => end.unwrap_or(RequestEnd::UpstreamFailed),
            // If the event loop is late or the balancer does not end the request, the client would get no response.
            // This fires only after the balancer's own deadline, which is earlier by `deadline_margin`.
            () = sleep_until(complete_at + allowed - backstop(allowed)) => RequestEnd::DeadlineExceeded,
        };
        self.guard.record_end(end)
    }
}
