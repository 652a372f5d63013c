//! Reads and classifies a backend's response.
//!
//! Runs once for each response head that arrives in time. Buffers small bodies, and the first part of longer ones; the
//! buffered bytes count against the buffer budget until the response is dropped.

use super::pool::Pool;
use super::{AttemptEnd, UpstreamResponse};
use crate::body::{self, BufferBudget, Lateness, RateLimitedBody};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use load_balancer::interface::Outcome;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time after its first bytes at which an incomplete response without a length is passed on as a stream. With less
/// time left than this, the attempt times out first.
const BUFFERING_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the client's deadline at which a short response that is passed on is aborted. A late response has no value
/// and counts as lost after half a second, whatever the settings; an aborted one counts as failed.
const OVERDUE_GRACE: Duration = Duration::from_millis(250);

/// Reads the buffered part of a response and returns the end of its attempt.
pub(super) async fn read_response(
    response: Response<Incoming>,
    pool: &Pool,
    client_deadline: Instant,
) -> AttemptEnd {
    let (head, body) = response.into_parts();
    // A response with both a length and an encoding is rejected: the HTTP library would read the chunks and ignore the
    // length, while the backend may have used the length, and the client would get a body that ends at the wrong byte.
    if head.headers.contains_key(CONTENT_LENGTH) && head.headers.contains_key(TRANSFER_ENCODING) {
        return AttemptEnd::Failed(Outcome::Reset);
    }
    let declined = head.headers.get("srv-declined").is_some_and(|v| v == "1");
    let length = body.size_hint().exact();
    // A truncated response counts as a reset: the request may have run.
    let Ok(mut response) = buffer(RateLimitedBody::of_backend(body), &pool.buffer_budget).await else {
        return AttemptEnd::Failed(Outcome::Reset);
    };
    if let Some(remaining) = &mut response.remaining {
        remaining.set_lateness(lateness(length, client_deadline + OVERDUE_GRACE));
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

/// Returns when a response of this length, if it is known, counts as too late: `overdue_at` if it is short.
fn lateness(length: Option<u64>, overdue_at: Instant) -> Lateness {
    match length {
        Some(length) if length <= body::MAX_BUFFERED_BODY_BYTES as u64 => Lateness::At(overdue_at),
        Some(_) => Lateness::Never,
        None => Lateness::UnlessLong(overdue_at),
    }
}

/// Buffers a small body, or the first bytes of a longer one. The latency is measured up to the arrival of these bytes.
async fn buffer(mut body: RateLimitedBody, buffer_budget: &Rc<BufferBudget>) -> io::Result<UpstreamResponse> {
    let length = body.announced_bytes_left();
    let Some(first) = body.next().await? else {
        return Ok(UpstreamResponse::default());
    };
    let Some(mut buffer_permit) = buffer_budget.reserve_first_piece(length) else {
        return Ok(UpstreamResponse {
            data: first,
            remaining: Some(Box::new(body)),
            ..UpstreamResponse::default()
        });
    };
    let mut buffered = Vec::new();
    body::append(&mut buffered, &first);
    let complete = match length {
        Some(_) => body.read_into(&mut buffered, &mut buffer_permit).await?,
        None => {
            let reading = body.read_into(&mut buffered, &mut buffer_permit);
            timeout(BUFFERING_TIMEOUT, reading).await.unwrap_or(Ok(false))?
        }
    };
    buffer_permit.shrink(buffered.len());
    let remaining = (!complete).then(|| Box::new(body));
    let (data, buffer_permit) = (buffered.into(), Some(buffer_permit));
    Ok(UpstreamResponse { data, remaining, buffer_permit, connection: None })
}
