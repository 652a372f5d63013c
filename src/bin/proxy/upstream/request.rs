//! A client's request as it is sent to backends.
//!
//! Created once when the request is read, and shared by all its attempts. Owns the buffered body; the rest is streamed
//! through [`RemainingBody`] to one attempt at a time.

use crate::body::{BodyState, BufferReservation, ClaimedBody, RemainingBody};
use crate::io::{Client, Outgoing, Progress};
use crate::refusals::Shortage;
use crate::request_trace::RequestTrace;
use crate::sent_ids::{IdHash, SentIds};
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time by which the balancer's deadline precedes the client's. The client measures from its own send, and the response
/// still has to reach it.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// Divisor that gives the margin's largest part of a short client timeout, so that the rest is left for the attempts.
const DEADLINE_MARGIN_DIVISOR: u32 = 4;

/// `Host` header for backends if the client sent none. Contains the program's earlier name because backends may log
/// it or select a virtual host by it.
const DEFAULT_HOST: &str = "heathroad";

/// Returns the time by which the balancer's deadline precedes the end of a client's timeout.
pub fn deadline_margin(client_timeout: Duration) -> Duration {
    DEADLINE_MARGIN.min(client_timeout / DEADLINE_MARGIN_DIVISOR)
}

/// A client's request in the form that every attempt sends.
pub struct UpstreamRequest {
    /// The request method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The client's `Host` header.
    pub host: Option<HeaderValue>,
    /// The `Req-Id` header.
    pub id: HeaderValue,
    /// The `Idempotency-Key` header.
    pub key: Option<HeaderValue>,
    /// The body, or the first part of a body that is too long to be buffered.
    pub buffered_body: Bytes,
    /// The rest of a body that is not buffered completely.
    pub remaining_body: Option<Rc<RemainingBody>>,
    /// The hash of its id, if the request must not run twice.
    pub id_hash: Option<IdHash>,
    /// What the last attempt lacked, if it was not sent for that.
    pub shortage: Cell<Option<Shortage>>,
    /// Number of attempts that may have run.
    pub runs: Cell<u32>,
    /// The log of the request's phases.
    pub trace: Rc<RequestTrace>,
    /// The client that sent the request.
    pub client: Weak<Client>,
    /// The reservation in the buffer budget for `buffered_body`.
    pub _buffer_permit: Option<BufferReservation>,
    /// The end of the client's timeout, valid if the body was complete when the request was read.
    pub client_deadline: Instant,
}

impl UpstreamRequest {
    /// Returns whether the last byte of the request has arrived.
    pub fn is_complete(&self) -> bool {
        self.remaining_body.as_ref().is_none_or(|r| matches!(r.state(), BodyState::Complete(_)))
    }

    /// Returns the end of the client's timeout; until the body is complete, the value from when the request was read.
    pub(super) fn client_deadline(&self) -> Instant {
        match self.remaining_body.as_ref().map(|r| (r.state(), r.client_timeout)) {
            Some((BodyState::Complete(at), client_timeout)) => at + client_timeout,
            _ => self.client_deadline,
        }
    }

    /// Counts an attempt that is about to be written. Returns false if the request may have run for another client, or
    /// at another process, and the attempt must not be written.
    pub(super) fn begin_run(&self, sent_ids: &SentIds) -> bool {
        let is_first = self.runs.get() == 0;
        let may_run = !is_first || self.id_hash.is_none_or(|id| sent_ids.claim(id));
        if may_run {
            self.runs.update(|runs| runs + 1);
        }
        may_run
    }

    /// Stops to count an attempt that cannot have run.
    pub(super) fn undo_run(&self, sent_ids: &SentIds) {
        let runs = self.runs.get().saturating_sub(1);
        self.runs.set(runs);
        if let Some(id) = self.id_hash.filter(|_| runs == 0) {
            sent_ids.release(id);
        }
    }

    /// Waits until the request is complete, or the rest of it needs an attempt that takes what is there.
    pub(super) async fn sendable(&self) {
        if let Some(body) = &self.remaining_body {
            body.sendable().await;
        }
    }

    /// Returns whether the client has left. Checks the socket instead of relying on the event loop: after a pause
    /// of this process, the client's close and the event that leads to a send may both be pending.
    pub fn client_gone(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.has_left())
    }

    /// Returns whether the rest of the body can no longer be received.
    pub(super) fn is_broken(&self) -> bool {
        self.remaining_body.as_ref().is_some_and(|r| !r.state().can_be_sent())
    }

    /// Waits until a response would be too late. Never returns for a body that breaks off; the rate floor limits
    /// the time of a body that is still being received.
    pub(super) async fn deadline_passed(&self, deadline: Instant) {
        let Some(body) = &self.remaining_body else { return sleep_until(deadline).await };
        match body.settled().await {
            BodyState::Complete(_) => sleep_until(self.attempt_deadline(deadline)).await,
            _ => std::future::pending().await,
        }
    }

    /// Returns the time that a backend is told, in milliseconds, for an attempt with this deadline.
    pub(super) fn backend_timeout_ms(&self, deadline: Instant) -> u64 {
        let remaining = match &self.remaining_body {
            Some(body) if !self.is_complete() => body.time_left(),
            _ => self.attempt_deadline(deadline).saturating_duration_since(Instant::now()),
        };
        remaining.as_millis() as u64
    }

    /// Returns the deadline of an attempt at a complete request. The balancer knows no deadline of a request whose body
    /// was incomplete when the attempt began, and gives a distant one.
    fn attempt_deadline(&self, deadline: Instant) -> Instant {
        match &self.remaining_body {
            Some(body) => deadline.min(self.client_deadline() - deadline_margin(body.client_timeout)),
            None => deadline,
        }
    }

    /// Builds the HTTP request for one attempt, whose body ends with `streamed` and reports to `progress` how far it was
    /// written. Returns `None` if the request is invalid.
    pub(super) fn to_http(
        &self,
        streamed: Option<ClaimedBody>,
        progress: &Rc<Progress>,
        timeout_ms: u64,
    ) -> Option<Request<Outgoing>> {
        let mut request = Request::builder().method(self.method.clone()).uri(self.uri.clone());
        let headers = request.headers_mut()?;
        headers.insert(HOST, self.host.clone().unwrap_or(HeaderValue::from_static(DEFAULT_HOST)));
        headers.insert("req-id", self.id.clone());
        headers.insert("req-deadline-ms", HeaderValue::from(timeout_ms));
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.clone());
        }
        let is_empty = self.buffered_body.is_empty() && streamed.as_ref().is_none_or(ClaimedBody::is_taken);
        if is_empty && self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        request.body(Outgoing::new(self.buffered_body.clone(), streamed, progress.clone())).ok()
    }
}
