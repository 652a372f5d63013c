//! Reads the bodies of calls within bounds on their length, their transfer time and their total memory.

use super::answer::Rejection;
use super::request_body::RequestBody;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::{Request, StatusCode};
use serde::de::DeserializeOwned;
use std::error::Error;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Error for a body that could not be read. The messages are answered to the caller.
#[derive(Error, Debug)]
pub(super) enum BodyError {
    /// The bodies of this kind that are being read use up the memory budget.
    #[error("too many bodies at once; send it again in a second")]
    BudgetExhausted,
    /// The body did not arrive within the timeout.
    #[error("the body did not come in time")]
    Timeout,
    /// The body exceeds the maximum length.
    #[error("at most {max_bytes} bytes; send less at once")]
    TooLong {
        /// Maximum length of the body, in bytes.
        max_bytes: usize,
    },
    /// The connection failed, or the body's framing is wrong.
    #[error("{0}")]
    Read(Box<dyn Error + Send + Sync>),
    /// The body is not valid JSON for this call.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Rejection {
        let status = match &error {
            BodyError::BudgetExhausted => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Timeout => StatusCode::REQUEST_TIMEOUT,
            BodyError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::Read(_) | BodyError::Json(_) => StatusCode::BAD_REQUEST,
        };
        Rejection::new(status, error)
    }
}

/// Reads the bodies of one kind of call.
///
/// Failure: many large bodies at the same time, as when a fleet reconnects, would exhaust the process's memory. How it
/// shows: the registry is killed, and every proxy loses its watch. Why the guard holds: each body reserves its length
/// from the budget before it is read, a body of unknown length reserves the maximum, and a call for which too little is
/// left is answered 503 immediately. Each kind of call has a separate budget, so that none blocks another.
pub(super) struct BodyReader {
    budget_kib: Semaphore,
    max_bytes: usize,
    /// Maximum time for a body to arrive.
    timeout: Duration,
}

impl BodyReader {
    /// Creates a reader for bodies of at most `max_bytes`, and of at most `budget_kib` KiB together at any time.
    pub(super) fn new(budget_kib: usize, max_bytes: usize, timeout: Duration) -> BodyReader {
        BodyReader { budget_kib: Semaphore::new(budget_kib), max_bytes, timeout }
    }

    /// Reads the body of a request.
    pub(super) async fn bytes(&self, request: Request<RequestBody>) -> Result<Bytes, BodyError> {
        let max_bytes = self.max_bytes;
        let length = request.body().size_hint().exact().unwrap_or(max_bytes as u64).min(max_bytes as u64);
        let permit = self.budget_kib.try_acquire_many((length / 1024 + 1) as u32);
        let _permit = permit.map_err(|_| BodyError::BudgetExhausted)?;
        let body = Limited::new(request.into_body(), max_bytes).collect();
        match timeout(self.timeout, body).await {
            Err(_) => Err(BodyError::Timeout),
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLong { max_bytes }),
            Ok(Err(error)) => Err(BodyError::Read(error)),
        }
    }

    /// Reads the body of a request and decodes it as JSON.
    pub(super) async fn json<T: DeserializeOwned>(
        &self,
        request: Request<RequestBody>,
    ) -> Result<T, BodyError> {
        let body = self.bytes(request).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
