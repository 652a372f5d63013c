//! The actions that a balancer decides on.

#[cfg(doc)]
use super::Event;
use super::{AttemptNo, BackendId, RequestId};

/// An action of the balancer, to be carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The backend that gets it.
        backend: BackendId,
        /// Clock time (ms) at which the attempt is abandoned.
        deadline_ms: f64,
    },
    /// Final answer: the request is rejected, a further try by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Time (ms) after which the client may try again; 0 gives it none.
        retry_after_ms: f64,
    },
    /// Final answer: the request failed, and a further try may run it twice.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Ask for an [`Event::TimerFired`].
    SetTimer {
        /// Time (ms) from now.
        delay_ms: f64,
        /// Passed back with the event.
        token: u64,
    },
    /// Close idle connections to a backend.
    CloseIdle {
        /// The backend.
        backend: BackendId,
    },
    /// Subscribe to the list of backends, or end the subscription.
    Watch {
        /// True to subscribe.
        on: bool,
    },
    /// Send nothing more to a backend: the list has it draining or removed, or its own calls confirmed its
    /// removal.
    Withdraw {
        /// The backend.
        backend: BackendId,
    },
    /// Ask for the full list, which may confirm the removals of a suspicious one.
    Resync,
}
