//! Whether this process keeps clients or drains: one state, changed by the ops address and by SIGTERM.
//!
//! Watched by the listener and by each client's connection. Owns the phase of the process and the time of its stop; the
//! times that the platform sets for a stop are the constants below.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// New connections are accepted for so long after readiness says no, and an idle connection is kept for so long, for a last
/// request whose response closes it. The platform sends new connections for 0.4 s at the most, and kills no sooner than 0.7
/// s after SIGTERM, whatever the deadlines.
pub const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// The platform kills 0.7 s after the longest client timeout from SIGTERM on, of which no more than this counts.
const MAX_CLIENT_TIMEOUT_AT_STOP: Duration = Duration::from_secs(3);
/// So long after that client timeout all that was admitted must be answered: before the kill, with 0.4 s to spare.
const ANSWER_GRACE: Duration = Duration::from_millis(300);
/// Responses that flow may take so much longer before the process ends.
pub const STREAMING_GRACE: Duration = Duration::from_secs(60);

/// How long after SIGTERM all must be answered, where clients wait for `longest_client_timeout` at most. Zero stands for a
/// timeout that the settings do not tell, and counts as a long one.
pub fn time_to_last_answer(longest_client_timeout: Duration) -> Duration {
    let known = Some(longest_client_timeout).filter(|timeout| !timeout.is_zero());
    let counted = known.map_or(MAX_CLIENT_TIMEOUT_AT_STOP, |timeout| timeout.min(MAX_CLIENT_TIMEOUT_AT_STOP));
    counted + ANSWER_GRACE
}

/// What the process does about clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Does not listen yet.
    Starting,
    /// Accepts clients.
    Serving,
    /// Serves the clients that still come, and closes their connections.
    Draining,
    /// The same, for good.
    Stopping,
}

impl Phase {
    /// Whether clients' connections are kept after a response, and readiness may say yes. New connections are accepted
    /// while draining too, and for [`DRAIN_DELAY`] more when stopping.
    pub fn keeps_connections(self) -> bool {
        self == Phase::Serving
    }

    /// Whether clients' connections are closed.
    fn closes_connections(self) -> bool {
        matches!(self, Phase::Draining | Phase::Stopping)
    }

    /// Its name, for operators.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Draining => "draining",
            Phase::Stopping => "stopping",
        }
    }
}

/// The state of this process.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    stopped_at: Cell<Option<Instant>>,
}

impl Lifecycle {
    /// A process that has just started.
    pub fn new() -> Self {
        Lifecycle { phase: watch::Sender::new(Phase::Starting), stopped_at: Cell::new(None) }
    }

    /// The process listens now.
    pub fn begin(&self) {
        self.phase.send_replace(Phase::Serving);
    }

    /// What the process does now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Drains the proxy; whether it drains now.
    pub fn quiesce(&self) -> bool {
        self.change_to(Phase::Draining)
    }

    /// Ends a drain; whether it serves now.
    pub fn resume(&self) -> bool {
        self.change_to(Phase::Serving)
    }

    /// Begins the stop, for good: new connections are accepted for [`DRAIN_DELAY`] more.
    pub fn stop(&self) {
        self.stopped_at.set(Some(Instant::now()));
        self.phase.send_replace(Phase::Stopping);
    }

    /// Changes between serving and draining; before the start and after a stop nothing changes.
    fn change_to(&self, to: Phase) -> bool {
        let is_fixed = |now: Phase| matches!(now, Phase::Starting | Phase::Stopping);
        self.phase.send_if_modified(|now| !is_fixed(*now) && std::mem::replace(now, to) != to);
        self.phase() == to
    }

    /// Whether a request that was complete at this time came so long after the stop began that the kill may come before a
    /// response that flows has ended.
    pub fn is_late_request(&self, complete_at: Instant) -> bool {
        self.stopped_at.get().is_some_and(|stopped_at| complete_at > stopped_at + DRAIN_DELAY)
    }

    /// Waits until the process has drained for [`DRAIN_DELAY`]: from then on an idle connection is to be closed. A resume
    /// before that starts the wait anew.
    pub async fn drain_delay_over(&self) {
        let mut phase = self.phase.subscribe();
        loop {
            // An error would mean that the sender is gone; it is a field of this one.
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
