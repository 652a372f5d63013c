//! Reads a backend's response and says what it means.
//!
//! Acts once for each response head that arrives in time. Small bodies are buffered, of longer ones the first part; that
//! part counts against the buffer budget until the response is dropped.

use super::{AttemptEnd, UpstreamResponse};
use crate::body::{self, BufferBudget, RateLimitedBody};
use bytes::BytesMut;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use load_balancer::interface::Outcome;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// A response without a length is passed on as it arrives when it is not complete so long after its first bytes. Where less
/// time is left than this, its attempt times out before.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(300);
/// A response that flows is broken off so long after its client stopped waiting. A late response earns nothing and counts
/// as lost after half a second, whatever the settings; one that is broken off counts as failed.
const OVERDUE: Duration = Duration::from_millis(250);

/// Reads a response as far as it is buffered, and says what it means.
pub(super) async fn read_response(
    response: Response<Incoming>,
    buffer_budget: &Rc<BufferBudget>,
    client_deadline: Instant,
) -> AttemptEnd {
    let (head, body) = response.into_parts();
    // Guards against a response with two framings: the HTTP library would take the chunks and ignore the length, the
    // backend may have used the length, and the client would get a body that was cut at the wrong byte.
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        return AttemptEnd::Failed(Outcome::Reset);
    }
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    // A response that breaks off is none: the request may have run.
    let Ok(mut response) = buffer(RateLimitedBody::new(body, body::BACKEND_RATE_FLOOR), buffer_budget).await
    else {
        return AttemptEnd::Failed(Outcome::Reset);
    };
    if let Some(remaining) = &mut response.remaining {
        remaining.end_by(client_deadline + OVERDUE);
    }
    match head.status {
        StatusCode::OK => AttemptEnd::Response(response),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => {
            AttemptEnd::Failed(Outcome::Rejected)
        }
        StatusCode::BAD_REQUEST => AttemptEnd::Failed(Outcome::Malformed),
        _ => AttemptEnd::Failed(Outcome::Error),
    }
}

/// Buffers a small body, and of a longer one the first bytes: their arrival is what is measured as the latency.
async fn buffer(mut body: RateLimitedBody, buffer_budget: &Rc<BufferBudget>) -> io::Result<UpstreamResponse> {
    let length = body.announced_bytes_left();
    let Some(first) = body.next().await? else {
        return Ok(UpstreamResponse::default());
    };
    let Some(mut buffer_permit) = buffer_budget.reserve(length) else {
        return Ok(UpstreamResponse { data: first, remaining: Some(body), buffer_permit: None });
    };
    let mut buffered = BytesMut::new();
    buffered.extend_from_slice(&first);
    let complete = match length {
        Some(_) => body.read_into(&mut buffered).await?,
        None => timeout(BUFFERING_TIMEOUT, body.read_into(&mut buffered)).await.unwrap_or(Ok(false))?,
    };
    buffer_permit.shrink(buffered.len());
    let remaining = (!complete).then_some(body);
    Ok(UpstreamResponse { data: buffered.freeze(), remaining, buffer_permit: Some(buffer_permit) })
}
