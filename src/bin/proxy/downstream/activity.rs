//! What a client's connection is doing, which decides when it may close.

use crate::body::ReceiveProgress;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// Time after which an idle connection is closed. It is shorter than the timeout of a head, at which the HTTP library
/// would close the connection without a lingering close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(55);
/// Time after which an idle connection is closed while the connection limit is reached. Newer connections are kept:
/// their requests are probably on the way.
const IDLE_TIMEOUT_AT_LIMIT: Duration = Duration::from_secs(1);
/// Time after the accept at which a connection without a complete request head is closed. The client must get an
/// error or a close within 3 s whatever the settings: its own deadline does not apply yet, since that begins with
/// the last byte of a request.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after the accept at which a connection without a complete request head is closed while the connection limit is
/// reached: several round trips.
pub(super) const FIRST_REQUEST_TIMEOUT_AT_LIMIT: Duration = Duration::from_secs(1);
/// Time after which a connection is dropped that has ended the proxy's sending side and awaits only the client's
/// end: one or two round trips.
pub(super) const CLOSED_GRACE: Duration = Duration::from_millis(100);

/// The reason why idle connections are asked to close.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleCloseReason {
    /// The connection limit is reached: idle connections close, and so do those that await only the client's end.
    LimitReached,
    /// Connections wait for a slot: as many close as wait, among those as above and those with a slow client.
    SlotsTaken,
    /// The process stops: connections that await only the client's end close.
    Stopping,
}

impl fmt::Display for IdleCloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IdleCloseReason::LimitReached => "the connection limit is reached",
            IdleCloseReason::SlotsTaken => "others wait for a slot",
            IdleCloseReason::Stopping => "the process stops",
        })
    }
}

/// The state of a connection's requests that decides when the connection may close.
pub(super) struct Activity {
    pub(super) idle_since: Cell<Instant>,
    /// Whether the head of a request has ever arrived on this connection.
    pub(super) had_request: Cell<bool>,
    /// Whether a request is being answered.
    pub(super) is_answering: Cell<bool>,
    /// The body that is being received.
    pub(super) receiving: Rc<ReceiveProgress>,
    /// The time at which the proxy ended its sending side, if it has.
    pub(super) ended_at: Rc<Cell<Option<Instant>>>,
}

/// What a connection does after a timer or a close request.
pub(super) enum Decision {
    Continue,
    /// Close once the request in progress is answered.
    CloseGracefully,
    /// Drop the connection immediately.
    Drop,
}

impl Activity {
    /// Decides whether the idle timeout has passed, and returns when to check again.
    pub(super) fn idle_timeout(&self) -> (Decision, Instant) {
        let now = Instant::now();
        let expires_at = self.idle_since.get() + IDLE_TIMEOUT;
        let decision = if !self.had_request.get() || now >= expires_at {
            Decision::CloseGracefully
        } else {
            Decision::Continue
        };
        (decision, expires_at.max(now + FIRST_REQUEST_TIMEOUT))
    }

    /// Decides what to do once the process has drained for the drain delay. A connection whose first request may
    /// still be on the way is kept; the response to that request closes it.
    pub(super) fn drained(&self) -> Decision {
        if self.had_request.get() { Decision::CloseGracefully } else { Decision::Continue }
    }

    /// Decides what to do when idle connections are asked to close for `reason`. `may_close` counts a connection that can.
    pub(super) fn asked_to_close(
        &self,
        reason: IdleCloseReason,
        may_close: impl Fn(IdleCloseReason) -> bool,
    ) -> Decision {
        if self.ended_at.get().is_some_and(|at| at.elapsed() > CLOSED_GRACE) {
            return Decision::Drop;
        }
        let is_short = reason != IdleCloseReason::Stopping;
        if is_short && self.receiving.waits_for_slow_client() && may_close(reason) {
            // A request that its client has not sent whole was not taken.
            debug!("connection closed: its client sends a body slowly, and {reason}");
            return Decision::Drop;
        }
        let allowed =
            if self.had_request.get() { IDLE_TIMEOUT_AT_LIMIT } else { FIRST_REQUEST_TIMEOUT_AT_LIMIT };
        let idle_long = self.idle_since.get().elapsed() > allowed;
        if is_short && idle_long && !self.is_answering.get() && may_close(reason) {
            debug!("connection closed: it is idle, and {reason}");
            Decision::CloseGracefully
        } else {
            Decision::Continue
        }
    }
}
