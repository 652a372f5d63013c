//! Answers to calls, and rejections with a reason.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};
use serde::Serialize;
use std::fmt::Display;

/// The answer to a call.
pub(super) type Answer = Response<Full<Bytes>>;

/// The result of a call's handler.
pub(super) type HandlerResult = Result<Answer, Rejection>;

/// The rejection of a call: a status, and the reason as plain text for the caller.
#[derive(Debug)]
pub(super) struct Rejection {
    status: StatusCode,
    reason: String,
}

impl Rejection {
    /// Creates a rejection with a status and a reason.
    pub(super) fn new(status: StatusCode, reason: impl Display) -> Rejection {
        Rejection { status, reason: reason.to_string() }
    }

    /// Creates the rejection of a malformed call (status 400).
    pub(super) fn bad_request(reason: impl Display) -> Rejection {
        Rejection::new(StatusCode::BAD_REQUEST, reason)
    }

    /// Creates the rejection of a call that may succeed when it is retried, possibly only after an operator's
    /// intervention (status 503).
    pub(super) fn unavailable(reason: impl Display) -> Rejection {
        Rejection::new(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// Creates the rejection of a method that the path does not support (status 405); the reason lists the supported
    /// ones.
    pub(super) fn method_not_allowed(reason: &str) -> Rejection {
        Rejection::new(StatusCode::METHOD_NOT_ALLOWED, reason)
    }
}

impl From<Rejection> for Answer {
    fn from(rejection: Rejection) -> Answer {
        let Rejection { status, reason } = rejection;
        let mut answer = answer(status, format!("{reason}\n"));
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            answer.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
        }
        answer
    }
}

/// Creates an answer. The content type is JSON if the status is 200, otherwise plain text.
pub(super) fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = if status == StatusCode::OK { "application/json" } else { "text/plain" };
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}

/// Creates an answer with status 200 and a body that is already encoded as JSON.
pub(super) fn encoded(body: impl Into<Bytes>) -> Answer {
    answer(StatusCode::OK, body)
}

/// Creates an answer with status 200 and a page encoded as JSON.
pub(super) fn json_page(page: &impl Serialize) -> HandlerResult {
    serde_json::to_vec(page).map(encoded).map_err(encoding_failed)
}

/// Creates the rejection of a call whose answer can't be encoded (status 500).
pub(super) fn encoding_failed(error: serde_json::Error) -> Rejection {
    Rejection::new(StatusCode::INTERNAL_SERVER_ERROR, error)
}
