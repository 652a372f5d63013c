//! The phase `respond`: the one place that maps each end of a request to what is written to the client.
//!
//! Owns the response's body, and with it the request's record: the phase `account` is the drop of both.

use crate::body::{BufferReservation, RateLimitedBody};
use crate::counters::{CountedAs, RequestRecord};
use crate::engine::RequestEnd;
use crate::upstream::UpstreamResponse;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

pub(super) type Reply = Response<ResponseBody>;

/// A response's body. The request's record is dropped with it, and counted then.
#[derive(Default)]
pub struct ResponseBody {
    data: Bytes,
    remaining: Option<RateLimitedBody>,
    record: Option<RequestRecord>,
    _buffer_permit: Option<BufferReservation>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let data = std::mem::take(&mut self.data);
        let next = match &mut self.remaining {
            _ if !data.is_empty() => Ok(Some(data)),
            None => Ok(None),
            Some(remaining) => match remaining.poll_next(cx) {
                Poll::Ready(next) => next,
                Poll::Pending => return Poll::Pending,
            },
        };
        if let (Err(_), Some(record)) = (&next, &mut self.record) {
            // The client notices: its connection closes before the announced end.
            record.count_as(CountedAs::Failed);
        }
        Poll::Ready(next.transpose().map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.remaining.as_ref().is_none_or(RateLimitedBody::is_complete)
    }

    fn size_hint(&self) -> SizeHint {
        let data = self.data.len() as u64;
        match self.remaining.as_ref().map(RateLimitedBody::announced_bytes_left) {
            None => SizeHint::with_exact(data),
            Some(Some(remaining)) => SizeHint::with_exact(data + remaining),
            Some(None) => SizeHint::default(),
        }
    }
}

/// A response without a body.
pub(super) fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(ResponseBody::default());
    *reply.status_mut() = status;
    reply
}

/// The same response as the last one on its connection.
pub(super) fn closing(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// The status of each end, and what it counts as.
fn status_of(end: &RequestEnd) -> (StatusCode, CountedAs) {
    match end {
        RequestEnd::Served(_) => (StatusCode::OK, CountedAs::Served),
        RequestEnd::Rejected { .. } => (StatusCode::SERVICE_UNAVAILABLE, CountedAs::Rejected),
        RequestEnd::UpstreamFailed => (StatusCode::BAD_GATEWAY, CountedAs::Failed),
        RequestEnd::DeadlineExceeded => (StatusCode::GATEWAY_TIMEOUT, CountedAs::Failed),
        RequestEnd::ClientGone => (StatusCode::REQUEST_TIMEOUT, CountedAs::Failed),
    }
}

/// The response to a request that ended so.
pub(super) fn respond(end: RequestEnd, mut record: RequestRecord) -> Reply {
    let (status, counted_as) = status_of(&end);
    record.count_as(counted_as);
    let (response, retry_after) = match end {
        RequestEnd::Served(response) => (response, None),
        RequestEnd::Rejected { retry_after } => (UpstreamResponse::default(), retry_after),
        _ => (UpstreamResponse::default(), None),
    };
    let UpstreamResponse { data, remaining, buffer_permit } = response;
    let mut reply =
        Response::new(ResponseBody { data, remaining, record: Some(record), _buffer_permit: buffer_permit });
    *reply.status_mut() = status;
    if status == StatusCode::REQUEST_TIMEOUT {
        reply = closing(reply);
    }
    let seconds = retry_after.map(|delay| format!("{:.3}", delay.as_secs_f64()));
    if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}
