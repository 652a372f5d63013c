//! A client's request as it is sent to backends.
//!
//! Made once when the request is read, and shared by all its attempts. Owns the buffered body; what is not buffered flows
//! through [`RemainingBody`] to one attempt only.

use crate::body::{BodyState, BufferReservation, RemainingBody};
use crate::io::{Client, Outgoing, Progress};
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The module's deadline lies so much before the client's: the client counts from its own send, and the response still has
/// to reach it.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// Of a short client timeout the margin takes at most this part, so that the rest is left to answer in.
const DEADLINE_MARGIN_PART: u32 = 4;

/// `Host` for backends where the client gave none. Kept from the program's earlier name: it is on the wire, and backends
/// may log it or select a virtual host by it.
const DEFAULT_HOST: &str = "heathroad";

/// How long before the end of a client's timeout the module's deadline lies.
pub fn deadline_margin(client_timeout: Duration) -> Duration {
    DEADLINE_MARGIN.min(client_timeout / DEADLINE_MARGIN_PART)
}

/// A request as every attempt sends it.
pub struct UpstreamRequest {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `Host`, as the client gave it.
    pub host: Option<HeaderValue>,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// Its body, or the first part of it.
    pub buffered_body: Bytes,
    /// What follows that, where the body is too long to be buffered.
    pub remaining_body: Option<Rc<RemainingBody>>,
    /// Who sent it.
    pub client: Weak<Client>,
    /// The part of the buffer budget that `buffered_body` takes up.
    pub _buffer_permit: Option<BufferReservation>,
    /// When its client stops waiting, unless its last byte has yet to arrive.
    pub client_deadline: Instant,
}

impl UpstreamRequest {
    /// Whether its last byte has arrived.
    pub fn is_complete(&self) -> bool {
        self.remaining_body.as_ref().is_none_or(|r| matches!(r.state(), BodyState::Complete(_)))
    }

    /// When its client stops waiting, as far as is known.
    pub(super) fn client_deadline(&self) -> Instant {
        match self.remaining_body.as_ref().map(|r| (r.state(), r.client_timeout)) {
            Some((BodyState::Complete(at), client_timeout)) => at + client_timeout,
            _ => self.client_deadline,
        }
    }

    /// Whether its client has gone, as far as can be seen at this instant. Asked of the system and not of the event loop:
    /// after a pause of this process the client's end and the cause to send may both be waiting.
    pub fn client_gone(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.has_left())
    }

    pub(super) fn is_broken(&self) -> bool {
        self.remaining_body.as_ref().is_some_and(|r| r.state() == BodyState::Broken)
    }

    /// Waits until a response would be too late. A body that is still being received has a time limit of its own.
    pub(super) async fn deadline_passed(&self, deadline: Instant) {
        let Some(body) = &self.remaining_body else { return sleep_until(deadline).await };
        match body.settled().await {
            BodyState::Complete(at) => {
                sleep_until(at + body.client_timeout - deadline_margin(body.client_timeout)).await
            }
            _ => std::future::pending().await,
        }
    }

    /// The request for one attempt; its body reports to `progress` how far it was written.
    pub(super) fn to_http(&self, progress: &Rc<Progress>, deadline: Instant) -> Option<Request<Outgoing>> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout_ms =
            self.remaining_body.as_ref().map_or(remaining, |r| r.client_timeout).as_millis() as u64;
        let mut request = Request::builder().method(self.method.clone()).uri(self.uri.clone());
        let headers = request.headers_mut()?;
        headers.insert(HOST, self.host.clone().unwrap_or(HeaderValue::from_static(DEFAULT_HOST)));
        headers.insert("req-id", self.id.clone());
        headers.insert("req-deadline-ms", HeaderValue::from(timeout_ms));
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.clone());
        }
        if self.buffered_body.is_empty() && self.remaining_body.is_none() && self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        request
            .body(Outgoing::new(self.buffered_body.clone(), self.remaining_body.clone(), progress.clone()))
            .ok()
    }
}
