//! The phase `read_request`: checks a request's head and reads the part of its body that is buffered.
//!
//! Runs once for each request. An invalid request is answered here with an error status, and is not counted.

use super::Downstream;
use super::check_head::{ErrorReply, bad_request, error_reply};
use super::handle::RequestSource;
use super::respond::respond;
use crate::body::{self, BufferReservation, RateLimitedBody, RemainingBody};
use crate::counters::RequestRecord;
use crate::engine::{ParsedRequest, RequestEnd};
use crate::request_trace::RequestTrace;
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

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
            shortage: Cell::new(None),
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
