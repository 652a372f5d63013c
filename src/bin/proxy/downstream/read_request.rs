//! The phase `read_request`: checks a request's head and reads the part of its body that is buffered.
//!
//! Runs once for each request. An invalid request is answered here with an error status, and is not counted.

use super::Downstream;
use super::handle::RequestSource;
use super::respond::{Reply, empty_response, respond};
use crate::body::{self, BufferReservation, RateLimitedBody, RemainingBody};
use crate::counters::RequestRecord;
use crate::engine::{ParsedRequest, RequestEnd, millis};
use crate::request_trace::RequestTrace;
use crate::sent_ids::IdHash;
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, EXPECT, HOST, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use load_balancer::interface::Idempotency;
use percent_encoding::percent_decode_str;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Longest timeout that a client may request, unless a class in the settings has a longer one.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(600);

/// The error response to an invalid request.
type ErrorReply = Box<Reply>;

/// The validated contents of a request's head.
struct CheckedHead {
    class: usize,
    tenant: usize,
    id: HeaderValue,
    host: Option<HeaderValue>,
    uri: Uri,
    client_timeout: Duration,
    idempotency_key: Option<HeaderValue>,
    id_hash: Option<IdHash>,
    ordering_key: Option<String>,
}

/// The part of a request body that was read, and the rest of the stream.
struct BufferedBody {
    buffered: Bytes,
    /// The rest of the body; `None` if the body is complete.
    remaining: Option<RateLimitedBody>,
    buffer_permit: Option<BufferReservation>,
}

impl Downstream {
    /// Reads a request, and its body if that is small. The body begins at `body_begins_at` in the client's stream. Fails with the error response to an invalid request.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        source: RequestSource<'_>,
        body_begins_at: Option<u64>,
    ) -> Result<(ParsedRequest, RequestRecord), ErrorReply> {
        let (Parts { method, uri, headers, .. }, body) = request.into_parts();
        let checked = self.check_head(&method, &uri, &headers, body.is_end_stream())?;
        let expects_continue = headers.contains_key(EXPECT);
        // The body may take long, and the head can have many fields.
        drop((uri, headers));
        let BufferedBody { buffered, remaining, buffer_permit } =
            self.buffer_body(body, expects_continue, source).await?;
        let received_ahead_at = source.client.received_ahead_at();
        let received_at = received_ahead_at.unwrap_or_else(Instant::now);
        let is_complete = remaining.is_none();
        let remaining_body = remaining.map(|body| {
            // The position in a body in chunks is not known once a part is buffered.
            let is_known = buffered.is_empty() || body.announced_bytes_left().is_some();
            let begins_at = body_begins_at.filter(|_| is_known).map(|at| at + buffered.len() as u64);
            let budget = self.buffer_budget.clone();
            Rc::new(RemainingBody::new(body, checked.client_timeout, source.client, begins_at, budget))
        });
        let mut record = self.counters.record(checked.class);
        let trace = RequestTrace::start(checked.id.clone(), checked.client_timeout, is_complete);
        if is_complete {
            source.progress.await_head();
            record.complete();
        }
        let call = UpstreamRequest {
            method,
            uri: checked.uri,
            host: checked.host,
            id: checked.id,
            id_hash: checked.id_hash,
            runs: Cell::new(0),
            key: checked.idempotency_key,
            buffered_body: buffered,
            remaining_body,
            trace: Rc::new(trace),
            client: Rc::downgrade(source.client),
            _buffer_permit: buffer_permit,
            client_deadline: received_at + checked.client_timeout,
        };
        let parsed = ParsedRequest {
            call,
            class: checked.class as u16,
            tenant: checked.tenant as u16,
            key: checked.ordering_key,
            received_at,
            client_timeout: checked.client_timeout,
        };
        if received_ahead_at.is_some() && is_complete && parsed.has_expired() {
            return Err(Box::new(respond(RequestEnd::Rejected { retry_after: None }, record)));
        }
        Ok((parsed, record))
    }

    /// Validates the path, the headers and the method, in this order.
    fn check_head(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        has_no_body: bool,
    ) -> Result<CheckedHead, ErrorReply> {
        let class = class_of(&self.platform.site.classes, uri.path());
        let class = class.ok_or_else(|| error_reply(StatusCode::NOT_FOUND))?;
        let id = own_copy(single_value(headers, "req-id").ok_or_else(bad_request)?);
        let tenant = self.tenant_of(headers).ok_or_else(bad_request)?;
        let client_timeout = self.client_timeout(headers).ok_or_else(bad_request)?;
        let idempotency_key = single_value(headers, "idempotency-key").map(own_copy);
        let (allowed, needs_key) = match self.platform.settings.classes[class].idempotency {
            Idempotency::Idempotent => (Method::GET, None),
            Idempotency::Keyed { .. } => (Method::POST, Some(true)),
            Idempotency::NonIdempotent => (Method::POST, Some(false)),
        };
        if *method != allowed {
            return Err(method_not_allowed(&allowed));
        }
        if needs_key.is_some_and(|needed| needed != idempotency_key.is_some())
            || needs_key.is_none() && !has_no_body
        {
            return Err(bad_request());
        }
        let ordering_key = uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("k=")));
        let ordering_key = ordering_key.filter(|key| !key.is_empty()).map(str::to_string);
        let host = headers.get(HOST).map(own_copy);
        let uri = uri.path_and_query().and_then(|path| Uri::try_from(path.as_str()).ok());
        let uri = uri.ok_or_else(bad_request)?;
        let id_hash = needs_key.map(|_| IdHash::new(&id, &uri));
        Ok(CheckedHead {
            class,
            tenant,
            id,
            id_hash,
            host,
            uri,
            client_timeout,
            idempotency_key,
            ordering_key,
        })
    }

    /// Returns the index of the tenant that the headers name. The name may contain non-ASCII bytes.
    fn tenant_of(&self, headers: &HeaderMap) -> Option<usize> {
        let tenants = &self.platform.site.tenants;
        if tenants.is_empty() {
            return Some(0);
        }
        let owner = single_value(headers, "req-owner").map(HeaderValue::as_bytes);
        tenants.iter().position(|tenant| Some(tenant.as_bytes()) == owner)
    }

    /// Returns the client's timeout from its headers, at most the longest one that is allowed.
    fn client_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let timeout_ms = single_value(headers, "req-deadline-ms")?.to_str().ok()?.parse().ok()?;
        let longest = MAX_CLIENT_TIMEOUT.max(millis(self.platform.site.longest_client_timeout_ms));
        Some(Duration::from_millis(timeout_ms).min(longest))
    }

    /// Buffers a small body if the buffer budget allows it. What is not buffered is read only once an attempt can
    /// stream it to a backend.
    async fn buffer_body(
        &self,
        body: Incoming,
        expects_continue: bool,
        source: RequestSource<'_>,
    ) -> Result<BufferedBody, ErrorReply> {
        let mut body = RateLimitedBody::of_client(body, source.receiving);
        let length = body.announced_bytes_left();
        if length.is_some_and(|n| n > body::MAX_BODY_BYTES) {
            // Draining the body avoids a reset over unread bytes, which would lose the response. A client that
            // expects a `100 Continue` may not send the body at all.
            if !expects_continue {
                spawn_local(body.drain());
            }
            return Err(error_reply(StatusCode::PAYLOAD_TOO_LARGE));
        }
        let Some(mut buffer_permit) = self.buffer_budget.reserve_first_piece(length) else {
            return Ok(BufferedBody { buffered: Bytes::new(), remaining: Some(body), buffer_permit: None });
        };
        let mut buffered = Vec::new();
        let is_complete =
            body.read_into(&mut buffered, &mut buffer_permit).await.map_err(|e| match e.kind() {
                io::ErrorKind::TimedOut => error_reply(StatusCode::REQUEST_TIMEOUT),
                _ => bad_request(),
            })?;
        buffer_permit.shrink(buffered.len());
        Ok(BufferedBody {
            buffered: buffered.into(),
            remaining: (!is_complete).then_some(body),
            buffer_permit: Some(buffer_permit),
        })
    }
}

fn error_reply(status: StatusCode) -> ErrorReply {
    Box::new(empty_response(status))
}

fn bad_request() -> ErrorReply {
    error_reply(StatusCode::BAD_REQUEST)
}

fn method_not_allowed(allowed: &Method) -> ErrorReply {
    let mut reply = empty_response(StatusCode::METHOD_NOT_ALLOWED);
    let allow = HeaderValue::from_static(if *allowed == Method::GET { "GET" } else { "POST" });
    reply.headers_mut().insert(ALLOW, allow);
    Box::new(reply)
}

/// Returns the index of the class whose name is a prefix of the path, as received or percent-decoded. Class names may
/// contain slashes; the longest match wins.
fn class_of(names: &[String], path: &str) -> Option<usize> {
    let begins = |path: &str, name: &str| {
        path.strip_prefix(name).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let find = |path: &str| {
        let matching = names.iter().enumerate().filter(|(_, name)| begins(path, name));
        matching.max_by_key(|(_, name)| name.len()).map(|(index, _)| index)
    };
    let path = path.strip_prefix('/').unwrap_or(path);
    let decoded = || percent_decode_str(path).decode_utf8().ok().and_then(|path| find(&path));
    find(path).or_else(|| find(path.trim_start_matches('/'))).or_else(decoded)
}

/// Returns a copy of a header's value. The value itself would keep the buffer of its whole head.
fn own_copy(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Returns the value of a header that must occur exactly once and must not be empty.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|v| !v.is_empty() && values.next().is_none())
}
