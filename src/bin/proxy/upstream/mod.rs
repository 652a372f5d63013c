//! The backends' side: a pool of connections, and attempts on them.
//!
//! Of the phases of a request `connect`, `forward` and `await_response` are here, in `attempt.rs`. How an attempt ended is
//! reported to the engine as an [`AttemptEnd`]; nothing here decides on a retry.

mod attempt;
mod pool;
mod request;
mod response;

pub use attempt::Attempt;
pub use pool::{Limits, Pool};
pub use request::{DEADLINE_MARGIN, UpstreamRequest, deadline_margin};

use crate::body::{BufferReservation, RateLimitedBody};
use bytes::Bytes;
use load_balancer::interface::Outcome;
use std::cell::Cell;
use std::net::SocketAddr;
use tokio::time::Instant;

/// A backend's response to pass on.
#[derive(Default)]
pub struct UpstreamResponse {
    /// Its body, or the first part of it.
    pub data: Bytes,
    /// What follows that.
    pub remaining: Option<RateLimitedBody>,
    /// The part of the buffer budget that `data` takes up.
    pub buffer_permit: Option<BufferReservation>,
}

/// Where a backend is reached, and since when it takes nothing new.
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// When its process started, by discovery.
    pub started_at_ms: f64,
    /// When this proxy learned that it drains or is gone.
    pub drained_at: Cell<Option<Instant>>,
}

/// How an attempt ended.
pub enum AttemptEnd {
    /// With a response to pass on.
    Response(UpstreamResponse),
    /// With none.
    Failed(Outcome),
}

impl AttemptEnd {
    /// The same for the decision module.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptEnd::Response(_) => Outcome::Ok,
            AttemptEnd::Failed(outcome) => *outcome,
        }
    }
}
