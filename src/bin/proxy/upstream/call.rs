//! A request as it goes out.

use crate::body::{Flow, Held, Rest};
use crate::io::{Client, Outgoing, Progress};
use bytes::Bytes;
use hyper::header;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The module's deadline lies so much before the caller's: a deadline counts from the caller's send, and the
/// answer has yet to reach it.
pub const MARGIN: Duration = Duration::from_millis(25);
/// Of a short wait it takes this part at the most, so that the rest is there to answer in.
const MARGIN_PART: u32 = 4;

/// How long before the end of a caller's wait the module's deadline lies.
pub fn margin(wait: Duration) -> Duration {
    MARGIN.min(wait / MARGIN_PART)
}

/// A request as every attempt of it goes out.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `Host`, as the caller gave it.
    pub host: Option<HeaderValue>,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// Its body, or the first part of it.
    pub held: Bytes,
    /// What follows that, where the body is too long to be held.
    pub rest: Option<Rc<Rest>>,
    /// Who sent it.
    pub client: Weak<Client>,
    /// What the held part takes up.
    pub _room: Option<Held>,
    /// When its caller stops waiting, unless its last byte is still to come.
    pub due: Instant,
}

impl Call {
    /// Whether its last byte has come.
    pub fn came(&self) -> bool {
        self.rest.as_ref().is_none_or(|r| matches!(r.state(), Flow::Whole(_)))
    }

    /// When its caller stops waiting, as far as is known.
    pub(super) fn due(&self) -> Instant {
        match self.rest.as_ref().map(|r| (r.state(), r.patience)) {
            Some((Flow::Whole(at), patience)) => at + patience,
            _ => self.due,
        }
    }

    /// Whether its client has left, as far as can be seen at this instant. The process may have stood still and
    /// find the client's end beside the cause to send.
    pub fn left(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.left())
    }

    pub(super) fn broken(&self) -> bool {
        self.rest.as_ref().is_some_and(|r| r.state() == Flow::Broken)
    }

    /// Waits until an answer would be late. A body that is still coming has its own time limit.
    pub(super) async fn late(&self, not_past: Instant) {
        let Some(rest) = &self.rest else { return sleep_until(not_past).await };
        match rest.settled().await {
            Flow::Whole(at) => sleep_until(at + rest.patience - margin(rest.patience)).await,
            _ => std::future::pending().await,
        }
    }

    pub(super) fn request(&self, progress: &Rc<Progress>, not_past: Instant) -> Option<Request<Outgoing>> {
        let left = not_past.saturating_duration_since(Instant::now());
        let left = self.rest.as_ref().map_or(left, |r| r.patience).as_millis() as u64;
        let mut request = Request::builder().method(self.method.clone()).uri(self.uri.clone());
        let headers = request.headers_mut()?;
        let host = self.host.clone().unwrap_or(HeaderValue::from_static("heathroad"));
        headers.insert(HOST, host);
        headers.insert("req-id", self.id.clone());
        headers.insert("req-deadline-ms", HeaderValue::from(left));
        if let Some(key) = &self.key {
            headers.insert("idempotency-key", key.clone());
        }
        if self.held.is_empty() && self.rest.is_none() && self.method != Method::GET {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        request.body(Outgoing::new(self.held.clone(), self.rest.clone(), progress.clone())).ok()
    }
}
