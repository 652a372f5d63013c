//! The phase `respond`: the only place that maps the end of a request to the response that is written to the client.
//!
//! Owns the response's body, and with it the request's record: the phase `account` is the drop of both.

use crate::body::{BufferReservation, RateLimitedBody};
use crate::counters::{CountedAs, RequestRecord};
use crate::engine::RequestEnd;
use crate::upstream::{ConnectionReservation, UpstreamResponse};
use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

pub(super) type Reply = Response<ResponseBody>;

/// A response body. It holds the request's record, so that the request is counted when the body is dropped.
#[derive(Default)]
pub struct ResponseBody {
    data: ResponseData,
    remaining: Option<Box<RateLimitedBody>>,
    record: Option<RequestRecord>,
    _connection: Option<ConnectionReservation>,
}

/// A piece of a response body. Its memory is reserved until it is written, for which a slow client may take long.
#[derive(Default)]
pub struct ResponseData {
    bytes: Bytes,
    _permit: Option<BufferReservation>,
}

impl Buf for ResponseData {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

impl Body for ResponseBody {
    type Data = ResponseData;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<ResponseData>>>> {
        let data = std::mem::take(&mut self.data);
        let next = match &mut self.remaining {
            _ if data.has_remaining() => Ok(Some(data)),
            None => Ok(None),
            Some(remaining) => match remaining.poll_next(cx) {
                Poll::Ready(next) => {
                    next.map(|piece| piece.map(|bytes| ResponseData { bytes, _permit: None }))
                }
                Poll::Pending => return Poll::Pending,
            },
        };
        if let (Err(_), Some(record)) = (&next, &mut self.record) {
            // The client can detect the failure, since its connection closes before the announced end of the body.
            record.count_as(CountedAs::Failed);
        }
        Poll::Ready(next.transpose().map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        !self.data.has_remaining() && self.remaining.as_ref().is_none_or(|remaining| remaining.is_complete())
    }

    fn size_hint(&self) -> SizeHint {
        let data = self.data.remaining() as u64;
        match self.remaining.as_ref().map(|remaining| remaining.announced_bytes_left()) {
            None => SizeHint::with_exact(data),
            Some(Some(remaining)) => SizeHint::with_exact(data + remaining),
            Some(None) => SizeHint::default(),
        }
    }
}

/// Returns a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Reply {
    let mut reply = Response::new(ResponseBody::default());
    *reply.status_mut() = status;
    reply
}

/// Adds `Connection: close` to a response, which makes it the last one on its connection.
pub(super) fn close_after(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Returns the status for the end of a request, and what the request counts as.
fn status_of(end: &RequestEnd) -> (StatusCode, CountedAs) {
    match end {
        RequestEnd::Served(_) => (StatusCode::OK, CountedAs::Served),
        RequestEnd::Rejected { .. } => (StatusCode::SERVICE_UNAVAILABLE, CountedAs::Rejected),
        RequestEnd::UpstreamFailed => (StatusCode::BAD_GATEWAY, CountedAs::Failed),
        RequestEnd::MayHaveRun => (StatusCode::CONFLICT, CountedAs::Failed),
        RequestEnd::DeadlineExceeded => (StatusCode::GATEWAY_TIMEOUT, CountedAs::Failed),
        RequestEnd::ClientGone => (StatusCode::REQUEST_TIMEOUT, CountedAs::Failed),
    }
}

/// Builds the response to a request that ended with `end`, and sets what its record counts as.
pub(super) fn respond(end: RequestEnd, mut record: RequestRecord) -> Reply {
    let (status, counted_as) = status_of(&end);
    record.count_as(counted_as);
    let (response, retry_after) = match end {
        RequestEnd::Served(response) => (response, None),
        RequestEnd::Rejected { retry_after } => (UpstreamResponse::default(), retry_after),
        _ => (UpstreamResponse::default(), None),
    };
    let UpstreamResponse { data, remaining, buffer_permit, connection } = response;
    let data = ResponseData { bytes: data, _permit: buffer_permit };
    let mut reply =
        Response::new(ResponseBody { data, remaining, record: Some(record), _connection: connection });
    *reply.status_mut() = status;
    if status == StatusCode::REQUEST_TIMEOUT {
        reply = close_after(reply);
    }
    let seconds = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
    if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
