//! Answers, and bodies of calls.

use super::context::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode, header};
use serde::de::DeserializeOwned;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// What a call gets.
pub type Answer = Response<Full<Bytes>>;

/// An answer: JSON when all is well, else plain text.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let kind = if status == StatusCode::OK { "application/json" } else { "text/plain" };
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

/// A refusal with its reason.
pub fn refuse(status: StatusCode, why: impl std::fmt::Display) -> Answer {
    let mut response = answer(status, format!("{why}\n"));
    if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    }
    response
}

/// A body, or the refusal that it gets. `held` bounds what such bodies take together, in KiB.
pub async fn bytes(
    request: Request<Incoming>,
    held: &Semaphore,
    most: usize,
    context: &Context,
) -> Result<Bytes, Answer> {
    // Bodies in work hold so much memory together; one of unknown length counts as the longest.
    let length = request.body().size_hint().exact().unwrap_or(most as u64).min(most as u64);
    let Ok(_held) = held.try_acquire_many((length / 1024 + 1) as u32) else {
        return Err(refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "too many bodies at once; send it again in a second",
        ));
    };
    let body = Limited::new(request.into_body(), most).collect();
    let Ok(body) = timeout(context.limits.header_timeout, body).await else {
        return Err(refuse(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
    };
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, format!("at most {most} bytes")))
        }
        Err(e) => Err(refuse(StatusCode::BAD_REQUEST, e)),
    }
}

/// The body of a write as JSON, or the refusal that it gets.
pub async fn body<T: DeserializeOwned>(request: Request<Incoming>, context: &Context) -> Result<T, Answer> {
    let body = bytes(request, &context.bodies, context.limits.max_body, context).await?;
    serde_json::from_slice(&body).map_err(|e| refuse(StatusCode::BAD_REQUEST, e))
}
