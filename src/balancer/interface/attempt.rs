//! A request as it arrives, and the outcomes of its attempts.

#[cfg(doc)]
use super::Event;
use super::{AttemptNo, BackendId, RequestId};

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; the request may have run.
    Error,
    /// The backend rejected the request as malformed, as any other would.
    Malformed,
    /// Rejected by the backend unprocessed; never ran.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Key of the object that it concerns; requests of an ordered class run in order by key. 0 is none.
    pub key: u64,
    /// Index of its class.
    pub class: u16,
    /// Index of its tenant; 0 where there are none.
    pub tenant: u16,
    /// Clock time (ms) at which its client gives up.
    pub deadline_ms: f64,
    /// Its body is still arriving and is forwarded to the attempt in flight; [`Event::BodyComplete`] follows
    /// its last byte.
    pub body_pending: bool,
}

/// An attempt that ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolved {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// Its backend.
    pub backend: BackendId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time (ms) since it was sent.
    pub latency_ms: f64,
    /// The request is over; no further answer is due.
    pub request_ended: bool,
    /// Part of its body was consumed: it cannot be sent again.
    pub body_consumed: bool,
}
