//! Whether this process takes clients: one state, changed by the ops address and by SIGTERM, watched by the
//! listener and by each client's connection.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// New connections go on coming for so long after a no; and a connection at rest gets so much time for a last
/// request, whose answer closes it, before it is closed between requests. The platform sends new ones for 0.4 s at the
/// most and a kill comes no sooner than 0.7 s, whatever the deadlines.
pub const LINGER: Duration = Duration::from_millis(500);

/// A kill comes 0.7 s after the longest time that a client waits from SIGTERM on, of which no more than this counts ...
const LONGEST: Duration = Duration::from_secs(3);
/// ... and so long after that time all that was taken must be answered.
const LAST: Duration = Duration::from_millis(300);
/// So much longer long answers may take.
pub const FLOWS: Duration = Duration::from_secs(60);

/// How long after SIGTERM all must be answered, where a client waits for `longest` at most. Where nothing is told of
/// that, it waits long.
pub fn last_answer(longest: Duration) -> Duration {
    Some(longest).filter(|d| !d.is_zero()).map_or(LONGEST, |d| d.min(LONGEST)) + LAST
}

/// What the process does about clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Does not listen yet.
    Starting,
    /// Takes them.
    Serving,
    /// Serves those that still come and lets them go.
    Draining,
    /// The same, for good.
    Stopping,
}

impl Phase {
    /// Whether clients are taken and kept.
    pub fn takes(self) -> bool {
        self == Phase::Serving
    }

    /// Whether clients are let go.
    fn lets_go(self) -> bool {
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
pub struct Lifecycle(watch::Sender<Phase>, Cell<Option<Instant>>);

impl Lifecycle {
    /// A process that has just started.
    pub fn new() -> Self {
        Lifecycle(watch::Sender::new(Phase::Starting), Cell::default())
    }

    /// It listens now.
    pub fn begin(&self) {
        self.0.send_replace(Phase::Serving);
    }

    /// What it does now.
    pub fn phase(&self) -> Phase {
        *self.0.borrow()
    }

    /// Empties the proxy; whether it does so now.
    pub fn quiesce(&self) -> bool {
        self.turn(Phase::Draining)
    }

    /// Takes clients again; whether it does so now.
    pub fn resume(&self) -> bool {
        self.turn(Phase::Serving)
    }

    /// Ends the taking of clients. Nothing undoes it.
    pub fn stop(&self) {
        self.1.set(Some(Instant::now()));
        self.0.send_replace(Phase::Stopping);
    }

    fn turn(&self, to: Phase) -> bool {
        let settled = |now: Phase| matches!(now, Phase::Starting | Phase::Stopping);
        self.0.send_if_modified(|now| !settled(*now) && std::mem::replace(now, to) != to);
        self.phase() == to
    }

    /// Whether a request that came whole at this time came so long after the stop began that a kill may lose what
    /// is not answered of it by then.
    pub fn late(&self, whole: Instant) -> bool {
        self.1.get().is_some_and(|stopped| whole > stopped + LINGER)
    }

    /// Waits until clients have been let go for [`LINGER`]: from then on a connection at rest is to be closed.
    pub async fn released(&self) {
        let mut phase = self.0.subscribe();
        loop {
            // The sender is this one's own and is not gone.
            let _ = phase.wait_for(|p| p.lets_go()).await;
            tokio::select! {
                () = sleep(LINGER) => return,
                _ = phase.wait_for(|p| !p.lets_go()) => {}
            }
        }
    }

    /// Waits until the process stops.
    pub async fn stopped(&self) {
        let _ = self.0.subscribe().wait_for(|p| *p == Phase::Stopping).await;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/lifecycle.rs"]
mod tests;
