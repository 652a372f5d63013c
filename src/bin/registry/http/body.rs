//! Bodies of calls, read within a bound on their length, their time and their memory together.

use super::answer::Rejection;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, StatusCode};
use serde::de::DeserializeOwned;
use std::error::Error;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Why a body was not read. The texts are answered to the caller.
#[derive(Error, Debug)]
pub(super) enum BodyError {
    /// The bodies that are being read take all the memory for this kind.
    #[error("too many bodies at once; send it again in a second")]
    BudgetExhausted,
    /// The body did not arrive within the time.
    #[error("the body did not come in time")]
    Timeout,
    /// The body is longer than allowed.
    #[error("at most {max_bytes} bytes; send less at once")]
    TooLong {
        /// The bound.
        max_bytes: usize,
    },
    /// The connection failed, or the body's framing is wrong.
    #[error("{0}")]
    Read(Box<dyn Error + Send + Sync>),
    /// The body is not the JSON that the call takes.
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
/// Failure: many large bodies at once, as when a fleet returns, would exhaust the process's memory. How it shows: the
/// registry is killed, and every proxy loses its watch. Why the guard holds: each body takes its length from the budget
/// before it is read, a body of unknown length takes the longest, and a call that finds too little left is answered
/// 503 at once. Each kind has a budget of its own, so that none keeps another from being read.
pub(super) struct BodyReader {
    budget_kib: Semaphore,
    max_bytes: usize,
    /// Time in which a body must arrive.
    timeout: Duration,
}

impl BodyReader {
    /// Reads bodies of at most `max_bytes`, at any time `budget_kib` KiB together.
    pub(super) fn new(budget_kib: usize, max_bytes: usize, timeout: Duration) -> BodyReader {
        BodyReader { budget_kib: Semaphore::new(budget_kib), max_bytes, timeout }
    }

    /// Reads a body.
    pub(super) async fn bytes(&self, request: Request<Incoming>) -> Result<Bytes, BodyError> {
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

    /// Reads a body as JSON.
    pub(super) async fn json<T: DeserializeOwned>(&self, request: Request<Incoming>) -> Result<T, BodyError> {
        let body = self.bytes(request).await?;
        Ok(serde_json::from_slice(&body)?)
    }
}
