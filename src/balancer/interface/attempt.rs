//! Arriving requests and the outcomes of their attempts.

#[cfg(doc)]
use super::Event;
use super::{AttemptNo, BackendId, RequestId};

/// The outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The backend answered successfully.
    Ok,
    /// The backend answered with an error; the request may have run.
    Error,
    /// The backend rejected the request as malformed, as any other backend would.
    Malformed,
    /// The backend rejected the request unprocessed; it never ran.
    Rejected,
    /// No answer arrived in time; the request may have run.
    Timeout,
    /// The connection could not be established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The request was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Id of the request.
    pub request: RequestId,
    /// Key that orders the requests of an ordered class, such as the object's id; 0 means no key.
    pub key: u64,
    /// Index of the request's class in the settings.
    pub class: u16,
    /// Index of the request's tenant in the settings; 0 if there are no tenants.
    pub tenant: u16,
    /// Clock time (ms) at which the client gives up.
    pub deadline_ms: f64,
    /// Whether the request body is still arriving and is forwarded to the attempt in flight;
    /// [`Event::BodyComplete`] follows its last byte.
    pub body_pending: bool,
}

/// An attempt that ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolved {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt within its request.
    pub attempt: AttemptNo,
    /// Id of the backend that the attempt was sent to.
    pub backend: BackendId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time (ms) since the attempt was sent.
    pub latency_ms: f64,
    /// Whether the request is over, so that no further answer is due.
    pub request_ended: bool,
    /// Whether part of the request body was consumed, so that the request cannot be sent again.
    pub body_consumed: bool,
}
