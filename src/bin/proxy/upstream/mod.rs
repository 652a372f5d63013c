//! The backend side of the proxy: a pool of connections, and the attempts that use them.
//!
//! Implements the request phases `connect` in `attempt.rs`, and `forward` and `await_response` in `exchange.rs`. Each attempt reports
//! its end to the engine as an [`AttemptEnd`]; the decision on a retry is made elsewhere.

mod attempt;
mod exchange;
mod limits;
mod link;
mod pool;
mod request;
mod reservation;
mod response;

pub use attempt::Attempt;
pub use limits::Limits;
pub use pool::Pool;
pub use request::{DEADLINE_MARGIN, UpstreamRequest, deadline_margin};
pub use reservation::ConnectionReservation;

use crate::body::{BufferReservation, RateLimitedBody};
use bytes::Bytes;
use load_balancer::interface::Outcome;
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::time::Instant;

/// A backend's response that is passed on to the client.
#[derive(Default)]
pub struct UpstreamResponse {
    /// The response body, or the first part of it.
    pub data: Bytes,
    /// The rest of the body, if it is not complete in `data`.
    pub remaining: Option<Box<RateLimitedBody>>,
    /// The reservation in the buffer budget for `data`.
    pub buffer_permit: Option<BufferReservation>,
    /// The connection on which the rest of the body arrives.
    pub connection: Option<ConnectionReservation>,
}

/// One process of a backend: its address, its start time, and the time of its drain.
pub struct Target {
    /// The backend's address.
    pub address: SocketAddr,
    /// Start time of the backend's process in Unix milliseconds, as discovery reports it.
    pub started_at_ms: f64,
    /// The time at which this proxy learned that the backend drains or is gone.
    pub drained_at: Cell<Option<Instant>>,
}

/// The end of an attempt.
pub enum AttemptEnd {
    /// A response that is passed on to the client.
    Response(UpstreamResponse),
    /// A failure, with the outcome for the balancer.
    Failed(Outcome),
}

impl AttemptEnd {
    /// Returns the end as an outcome for the balancer.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptEnd::Response(_) => Outcome::Ok,
            AttemptEnd::Failed(outcome) => *outcome,
        }
    }
}
