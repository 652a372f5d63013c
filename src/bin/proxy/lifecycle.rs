//! The lifecycle of this process: starting, serving, draining or stopping, as set by the ops address and SIGTERM.
//!
//! The listener and each client connection watch it. Owns the phase of the process and the time of its stop. The
//! constants below follow from the platform's times for a stop.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Time after the readiness check begins to fail for which new connections are still accepted and idle connections
/// are kept for one more request, whose response closes them. The platform routes new connections here for at most
/// 0.4 s, and sends SIGKILL no earlier than 0.7 s after SIGTERM, whatever the deadlines.
pub const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// Largest client timeout that counts at a stop. The platform sends SIGKILL 0.7 s after the longest client timeout,
/// counted from SIGTERM and limited to this value.
const MAX_CLIENT_TIMEOUT_AT_STOP: Duration = Duration::from_secs(3);
/// Time after that client timeout by which all admitted requests must be answered: 0.4 s before the SIGKILL.
const ANSWER_GRACE: Duration = Duration::from_millis(300);
/// Additional time for streamed responses to complete before the process ends.
pub const STREAMING_GRACE: Duration = Duration::from_secs(60);

/// Returns the time after SIGTERM by which all requests must be answered if clients wait for
/// `longest_client_timeout` at most. Zero means that the settings do not give the timeout, and counts as
/// [`MAX_CLIENT_TIMEOUT_AT_STOP`].
pub fn time_to_last_answer(longest_client_timeout: Duration) -> Duration {
    let known = Some(longest_client_timeout).filter(|timeout| !timeout.is_zero());
    let counted = known.map_or(MAX_CLIENT_TIMEOUT_AT_STOP, |timeout| timeout.min(MAX_CLIENT_TIMEOUT_AT_STOP));
    counted + ANSWER_GRACE
}

/// The phase of the process, which says how it treats clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process does not listen yet.
    Starting,
    /// The process accepts clients and keeps their connections.
    Serving,
    /// The process still serves clients that connect, and closes their connections.
    Draining,
    /// The process drains as in [`Phase::Draining`], then ends.
    Stopping,
}

impl Phase {
    /// Returns whether client connections are kept after a response and the readiness check may succeed. New
    /// connections are also accepted while draining, and for [`DRAIN_DELAY`] after a stop.
    pub fn keeps_connections(self) -> bool {
        self == Phase::Serving
    }

    /// Returns whether client connections are closed.
    fn closes_connections(self) -> bool {
        matches!(self, Phase::Draining | Phase::Stopping)
    }

    /// Returns the phase's name for operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining => "draining",
            Phase::Stopping => "stopping",
        }
    }
}

/// The lifecycle state of this process.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    stopped_at: Cell<Option<Instant>>,
}

impl Lifecycle {
    /// Creates the state of a process that has just started.
    pub fn new() -> Self {
        Lifecycle { phase: watch::Sender::new(Phase::Starting), stopped_at: Cell::new(None) }
    }

    /// Changes to serving once the process listens.
    pub fn begin(&self) {
        self.phase.send_replace(Phase::Serving);
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Starts a drain, and returns whether the proxy is draining now.
    pub fn quiesce(&self) -> bool {
        self.change_to(Phase::Draining)
    }

    /// Ends a drain, and returns whether the proxy is serving now.
    pub fn resume(&self) -> bool {
        self.change_to(Phase::Serving)
    }

    /// Begins the stop, which cannot be undone. New connections are accepted for [`DRAIN_DELAY`] more.
    pub fn stop(&self) {
        self.stopped_at.set(Some(Instant::now()));
        self.phase.send_replace(Phase::Stopping);
    }

    /// Changes between serving and draining, and returns whether `to` is the phase now. Has no effect while starting or
    /// stopping.
    fn change_to(&self, to: Phase) -> bool {
        let is_fixed = |now: Phase| matches!(now, Phase::Starting | Phase::Stopping);
        self.phase.send_if_modified(|now| !is_fixed(*now) && std::mem::replace(now, to) != to);
        self.phase() == to
    }

    /// Returns whether a request that was complete at `complete_at` came so long after the stop began that the
    /// platform's SIGKILL may cut off a streamed response.
    pub fn is_late_request(&self, complete_at: Instant) -> bool {
        self.stopped_at.get().is_some_and(|stopped_at| complete_at > stopped_at + DRAIN_DELAY)
    }

    /// Waits until the process has drained for [`DRAIN_DELAY`], after which idle connections are closed. A resume
    /// before that restarts the wait.
    pub async fn drain_delay_over(&self) {
        let mut phase = self.phase.subscribe();
        loop {
            // The wait cannot fail: the sender is a field of `self`.
            let _ = phase.wait_for(|phase| phase.closes_connections()).await;
            tokio::select! {
                () = sleep(DRAIN_DELAY) => return,
                _ = phase.wait_for(|phase| !phase.closes_connections()) => {}
            }
        }
    }

    /// Waits until the process stops.
    pub async fn stopped(&self) {
        let _ = self.phase.subscribe().wait_for(|phase| *phase == Phase::Stopping).await;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/lifecycle.rs"]
mod tests;
