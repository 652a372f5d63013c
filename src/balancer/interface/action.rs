//! The actions that the balancer asks the embedding proxy to carry out.

#[cfg(doc)]
use super::Event;
use super::{AttemptNo, BackendId, RequestId};

/// An action that the embedding proxy carries out, in the order given by the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// Id of the request.
        request: RequestId,
        /// Id of the backend that the attempt is sent to.
        backend: BackendId,
        /// Clock time (ms) at which the attempt is abandoned.
        deadline_ms: f64,
    },
    /// Final answer: the request is rejected, and a retry by the client is harmless.
    Reject {
        /// Id of the request.
        request: RequestId,
        /// Retry-After (ms) for the client; 0 sends none.
        retry_after_ms: f64,
    },
    /// Final answer: the request failed, and a retry by the client may run it twice.
    Fail {
        /// Id of the request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Id of the request.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: AttemptNo,
    },
    /// Set a timer that fires an [`Event::TimerFired`].
    SetTimer {
        /// Delay (ms) from now until the timer fires.
        delay_ms: f64,
        /// Token that is passed back with the event.
        token: u64,
    },
    /// Close idle connections to a backend.
    CloseIdle {
        /// Id of the backend.
        backend: BackendId,
    },
    /// Subscribe to the list of backends, or end the subscription.
    Watch {
        /// True to subscribe, false to end the subscription.
        on: bool,
    },
    /// Send nothing more to a backend: it is draining or removed according to the list, or failed connects
    /// confirmed its removal.
    Withdraw {
        /// Id of the backend.
        backend: BackendId,
    },
    /// Request the full list, which may confirm suspected removals.
    Resync,
}
