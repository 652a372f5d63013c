//! A request while it is in the engine, from its admission to its end.
//!
//! [`ParsedRequest`] is what the client asks for, [`PendingRequest`] what the engine keeps of it, [`RequestEnd`] how it
//! ended.

use super::Engine;
use crate::upstream::{UpstreamRequest, UpstreamResponse};
use load_balancer::interface::{BackendId, Event, RequestId};
use load_balancer::replay::Ending;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A request without an answer is failed so long before its client's deadline, whatever the module does.
const BACKSTOP: Duration = Duration::from_millis(10);
/// Of a short client timeout the backstop takes at most this part: less than the margin of the module's own deadline.
const BACKSTOP_PART: u32 = 10;

/// How long before the end of a client's timeout its request is failed, whatever the module does.
pub(super) fn backstop(client_timeout: Duration) -> Duration {
    BACKSTOP.min(client_timeout / BACKSTOP_PART)
}

/// How a request ended. `downstream/respond.rs` maps each end to what is written to the client.
pub enum RequestEnd {
    /// With a backend's response.
    Served(UpstreamResponse),
    /// Rejected; another try by the client is harmless.
    Rejected {
        /// How long the client should wait before that, where the module says so.
        retry_after: Option<Duration>,
    },
    /// Every attempt that was allowed failed; it may have run.
    UpstreamFailed,
    /// No response before the client's deadline; it may have run.
    DeadlineExceeded,
    /// Its client closed its connection, or stopped in the middle of the body.
    ClientGone,
}

/// A request that was read and checked, its class and tenant resolved.
pub struct ParsedRequest {
    /// What is sent to backends.
    pub call: UpstreamRequest,
    /// Index of its class in the settings.
    pub class: u16,
    /// Index of its tenant.
    pub tenant: u16,
    /// Its ordering key.
    pub key: Option<String>,
    /// When the part of it arrived that is buffered.
    pub received_at: Instant,
    /// How long its client waits, from its last byte on.
    pub client_timeout: Duration,
}

/// Whether the request still awaits its one answer. The channel to the client is used up by it.
pub(super) enum AnswerState {
    Pending(oneshot::Sender<RequestEnd>),
    /// Answered, or its client has gone.
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
    /// Attempts by number; `None` once ended.
    pub(super) attempts: Vec<Option<InFlightAttempt>>,
    /// For how long backends recognise its repeats, where they do.
    pub(super) dedup_window: Option<Duration>,
    /// When the first of the ended attempts was sent that may have run.
    pub(super) first_sent_at: Option<Instant>,
}

impl PendingRequest {
    pub(super) fn is_unanswered(&self) -> bool {
        matches!(self.answer, AnswerState::Pending(_))
    }

    /// Until when a further attempt may begin. Guards against a request that runs twice: past the window, backends no
    /// longer recognise a repeat. It counts from the first attempt that may have run, and one in flight may.
    pub(super) fn begin_by(&self) -> Option<Instant> {
        let in_flight = self.attempts.iter().flatten().map(|attempt| attempt.sent_at);
        Some(in_flight.chain(self.first_sent_at).min()? + self.dedup_window?)
    }

    /// Ends it towards the client, unless it has ended.
    pub(super) fn end(&mut self, end: RequestEnd) {
        if let AnswerState::Pending(client) = std::mem::replace(&mut self.answer, AnswerState::Closed) {
            // The receiver is gone when the client has just left; its `CallerGuard` reports that.
            let _ = client.send(end);
        }
    }

    /// Its client has gone: what of its body was not written is never written.
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

/// Held by the task that serves the client. Dropped without an end, the client has gone: the module is notified, so that no
/// request stays open. Its drop is also the phase `account` for the observer.
pub(super) struct CallerGuard {
    pub(super) engine: Rc<Engine>,
    pub(super) request: RequestId,
    /// How it ends, unless the client leaves before.
    pub(super) ending: Cell<Ending>,
}

impl CallerGuard {
    /// Notes the end for the observer, and passes it on.
    pub(super) fn note(&self, end: RequestEnd) -> RequestEnd {
        self.ending.set(match end {
            RequestEnd::Served(_) => Ending::Served,
            RequestEnd::Rejected { .. } => Ending::Refused,
            RequestEnd::UpstreamFailed | RequestEnd::DeadlineExceeded => Ending::Failed,
            RequestEnd::ClientGone => Ending::Left,
        });
        end
    }

    /// Takes the request from its client; whether it was unanswered.
    fn abandon_unanswered(&self) -> bool {
        let state = &mut *self.engine.state.borrow_mut();
        let pending = state.requests.get_mut(&self.request).filter(|pending| pending.is_unanswered());
        let was_unanswered = pending.map(PendingRequest::abandon).is_some();
        state.remove_if_done(self.request);
        was_unanswered
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.abandon_unanswered() {
            self.engine.handle_event(Event::ClientGone { request: self.request });
        }
        self.engine.observe_end(self.request, self.ending.get());
    }
}
