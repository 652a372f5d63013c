//! The types for a request in the engine, from its admission to its end.
//!
//! [`ParsedRequest`] is the validated request, [`PendingRequest`] the engine's state for it, and [`RequestEnd`] its
//! end.

use super::Engine;
use crate::upstream::{UpstreamRequest, UpstreamResponse};
use load_balancer::interface::{BackendId, Event, RequestId};
use load_balancer::replay::Ending;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time before the client's deadline at which a request without a response is failed, whatever the balancer does.
const BACKSTOP: Duration = Duration::from_millis(10);
/// Divisor that gives the backstop's largest part of a short client timeout: less than the margin of the balancer's
/// deadline.
const BACKSTOP_DIVISOR: u32 = 10;

/// Returns the time before the end of a client's timeout at which its request is failed, whatever the balancer does.
pub(super) fn backstop(client_timeout: Duration) -> Duration {
    BACKSTOP.min(client_timeout / BACKSTOP_DIVISOR)
}

/// The end of a request. `downstream/respond.rs` maps each variant to the response to the client.
pub enum RequestEnd {
    /// The request ended with a backend's response.
    Served(UpstreamResponse),
    /// The request was rejected; the client can safely send it again.
    Rejected {
        /// How long the client should wait before it sends the request again, if the balancer says so.
        retry_after: Option<Duration>,
    },
    /// A request with the same id was sent to a backend before, here or at another process; it may have run.
    MayHaveRun,
    /// Every allowed attempt failed; the request may have run.
    UpstreamFailed,
    /// The request had no response in time, and the balancer had not ended it; it may have run. The balancer's own
    /// timeout is earlier and ends the request as `Rejected` or `UpstreamFailed`.
    DeadlineExceeded,
    /// The client closed its connection, or stopped in the middle of the body.
    ClientGone,
}

/// A request that was read and validated, with its class and tenant resolved.
pub struct ParsedRequest {
    /// The request in the form that is sent to backends.
    pub call: UpstreamRequest,
    /// Index of the request's class in the settings.
    pub class: u16,
    /// Index of the request's tenant in the settings.
    pub tenant: u16,
    /// The request's ordering key, if any.
    pub key: Option<String>,
    /// The time at which the buffered part of the request had arrived; earlier than it was read if that was while an
    /// earlier request was served.
    pub received_at: Instant,
    /// The client's timeout, which begins with the last byte of the request.
    pub client_timeout: Duration,
}

impl ParsedRequest {
    /// Returns whether the client's timeout has passed for a request that has arrived completely.
    pub fn has_expired(&self) -> bool {
        self.received_at.elapsed() >= self.client_timeout
    }
}

/// Whether a request awaits its answer. Answering consumes the channel, so that a request is answered at most once.
pub(super) enum AnswerState {
    Pending(oneshot::Sender<RequestEnd>),
    /// The request was answered, or its client has left.
    Closed,
}

/// An attempt that has not ended.
pub(super) struct InFlightAttempt {
    pub(super) backend: BackendId,
    pub(super) sent_at: Instant,
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

/// A request that awaits its answer, or the end of its last attempt.
pub(super) struct PendingRequest {
    pub(super) call: Rc<UpstreamRequest>,
    pub(super) answer: AnswerState,
    /// The attempts by number; `None` for those that have ended.
    pub(super) attempts: Vec<Option<InFlightAttempt>>,
    /// How long backends recognise repeats of the request, if they do.
    pub(super) dedup_window: Option<Duration>,
    /// The time at which the first ended attempt that may have run was sent.
    pub(super) first_sent_at: Option<Instant>,
}

impl PendingRequest {
    pub(super) fn is_unanswered(&self) -> bool {
        matches!(self.answer, AnswerState::Pending(_))
    }

    /// Returns the time before which another attempt may begin, if it is limited. Backends do not recognise a
    /// repeat after the deduplication window, so that the request would run twice. The window begins with the first
    /// attempt that may have run, which includes those in flight.
    pub(super) fn begin_by(&self) -> Option<Instant> {
        let in_flight = self.attempts.iter().flatten().map(|attempt| attempt.sent_at);
        Some(in_flight.chain(self.first_sent_at).min()? + self.dedup_window?)
    }

    /// Ends the request towards its client, unless it has ended already.
    pub(super) fn end(&mut self, end: RequestEnd) {
        if let AnswerState::Pending(client) = std::mem::replace(&mut self.answer, AnswerState::Closed) {
            // The send fails if the client has just left, which its `ClientGuard` reports.
            let _ = client.send(end);
        }
    }

    /// Closes the request after its client has left; the unwritten rest of its body is never written.
    pub(super) fn abandon(&mut self) {
        self.answer = AnswerState::Closed;
        if let Some(body) = &self.call.remaining_body {
            body.withdraw();
        }
    }

    pub(super) fn is_done(&self) -> bool {
        !self.is_unanswered() && self.attempts.iter().all(Option::is_none)
    }
}

/// Guard held by the task that serves the client. If it is dropped before the request has ended, the client has
/// left, and the balancer is notified so that the request does not stay open. The drop is also the phase `account`
/// for the observer.
pub(super) struct ClientGuard {
    pub(super) engine: Rc<Engine>,
    pub(super) request: RequestId,
    /// The end that is reported to the observer; `Left` until the request ends.
    pub(super) ending: Cell<Ending>,
}

impl ClientGuard {
    /// Records the end for the observer, and returns it.
    pub(super) fn record_end(&self, end: RequestEnd) -> RequestEnd {
        self.ending.set(match end {
            RequestEnd::Served(_) => Ending::Served,
            RequestEnd::Rejected { .. } => Ending::Refused,
            RequestEnd::UpstreamFailed | RequestEnd::MayHaveRun | RequestEnd::DeadlineExceeded => {
                Ending::Failed
            }
            RequestEnd::ClientGone => Ending::Left,
        });
        end
    }

    /// Abandons the request if it is unanswered, and returns whether it was.
    fn abandon_unanswered(&self) -> bool {
        let state = &mut *self.engine.state.borrow_mut();
        let pending = state.requests.get_mut(&self.request).filter(|pending| pending.is_unanswered());
        let was_unanswered = pending.map(PendingRequest::abandon).is_some();
        state.remove_if_done(self.request);
        was_unanswered
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        if self.abandon_unanswered() {
            self.engine.handle_event(Event::ClientGone { request: self.request });
        }
        self.engine.observe_end(self.request, self.ending.get());
    }
}
