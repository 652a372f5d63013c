//! Starts each attempt at the endpoint that the balancer selected, and handles its end: the client gets the
//! response, or the balancer decides on a retry. The phase `select_endpoint` itself is `select` in
//! `balancer/selection.rs`.
//!
//! Runs when the balancer selects an endpoint and when an attempt ends. Attempts in flight are kept in their
//! [`PendingRequest`] by number.

use super::Engine;
use super::request::{AnswerState, InFlightAttempt, PendingRequest, RequestEnd};
use super::state::State;
use crate::body::BodyState;
use crate::upstream::{Attempt, AttemptEnd, Target};
use load_balancer::interface::{BackendId, Event, Outcome, RequestId, Resolved};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

impl Engine {
    /// Starts an attempt at the endpoint that the balancer selected. An attempt that must not start ends as not sent.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut State,
        request: RequestId,
        backend: BackendId,
        deadline_ms: f64,
    ) {
        let connection = self.pool.reservations.reserve();
        let Some(number) = state.requests.get(&request).map(|pending| pending.attempts.len()) else { return };
        end_if_client_left(state, request);
        let target = self.resolve_target(state, request, backend);
        let sent_at = Instant::now();
        let Some(pending) = state.requests.get_mut(&request) else { return };
        let Some(target) = target else {
            pending.attempts.push(None);
            state.events.push_back(resolved(request, number, backend, Outcome::NotSent, 0.0, pending));
            self.observe_not_sent(request, number, backend);
            return;
        };
        self.observe_send(request, backend);
        let (cancel, cancelled) = oneshot::channel();
        let begin_by = pending.begin_by();
        pending.attempts.push(Some(InFlightAttempt { backend, sent_at, cancel: Some(cancel) }));
        let call = pending.call.clone();
        call.trace.attempt_started(number, target.address);
        let deadline = self.clock.instant(deadline_ms);
        let attempt = Attempt { call, target, deadline, begin_by, connection, cancelled };
        let engine = self.clone();
        let report = move |end| engine.attempt_ended(request, number, end);
        tokio::task::spawn_local(attempt.run(self.pool.clone(), report));
    }

    /// Returns the target of the backend that the balancer selected. Returns `None` if the attempt must not start:
    /// the request has ended, the backend is unknown, or the request has had the maximum number of attempts.
    fn resolve_target(&self, state: &State, request: RequestId, backend: BackendId) -> Option<Rc<Target>> {
        let pending = state.requests.get(&request)?;
        let may_start = pending.attempts.len() < self.platform.settings.caps.max_attempts as usize;
        let target = state.targets.get(&backend)?;
        (may_start && pending.is_unanswered()).then(|| target.clone())
    }

    /// Handles the end of an attempt. A response is passed on to the client immediately; for any other end the balancer
    /// decides on a retry.
    fn attempt_ended(self: &Rc<Self>, request: RequestId, number: usize, end: AttemptEnd) {
        let event = {
            let state = &mut *self.state.borrow_mut();
            let Some(pending) = state.requests.get_mut(&request) else { return };
            let Some(attempt) = pending.attempts.get_mut(number).and_then(Option::take) else { return };
            let outcome = end.outcome();
            pending.call.trace.attempt_ended(number, outcome);
            if !outcome.never_ran() {
                let first = pending.first_sent_at.map_or(attempt.sent_at, |first| first.min(attempt.sent_at));
                pending.first_sent_at = Some(first);
            }
            if let AttemptEnd::Response(response) = end {
                pending.end(RequestEnd::Served(response));
            }
            // The latency is measured from the last byte of the request, with which a backend begins its work.
            let begun_at = match pending.call.remaining_body.as_ref().map(|r| r.state()) {
                Some(BodyState::Complete(at)) => at.max(attempt.sent_at),
                _ => attempt.sent_at,
            };
            let latency_ms = begun_at.elapsed().as_secs_f64() * 1000.0;
            self.observe_reply(request, number, attempt.backend, outcome);
            let event = resolved(request, number, attempt.backend, outcome, latency_ms, pending);
            state.remove_if_done(request);
            event
        };
        self.handle_event(event);
    }
}

/// Ends a request whose client has left, before an attempt is started for it.
///
/// If this process was paused when the client left, the end of the client's stream is still unread on the socket.
/// An attempt that begins more than 0.1 s after the client left violates the platform's protocol.
fn end_if_client_left(state: &mut State, request: RequestId) {
    let Some(pending) = state.requests.get_mut(&request) else { return };
    if pending.is_unanswered() && pending.call.client_gone() {
        pending.end(RequestEnd::ClientGone);
        state.events.push_back(Event::ClientGone { request });
    }
}

/// Builds the balancer's event for the end of an attempt.
fn resolved(
    request: RequestId,
    number: usize,
    backend: BackendId,
    outcome: Outcome,
    latency_ms: f64,
    pending: &PendingRequest,
) -> Event {
    Event::Resolved(Resolved {
        request,
        attempt: number as u8,
        backend,
        outcome,
        latency_ms,
        request_ended: matches!(pending.answer, AnswerState::Closed),
        body_consumed: pending.call.remaining_body.as_ref().is_some_and(|r| r.was_passed_on()),
    })
}
