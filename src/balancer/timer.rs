//! The balancer's timers, and the tokens by which the embedding proxy passes them back.

use crate::interface::Action;

/// A kind of timer that the balancer sets.
#[derive(Clone, Copy)]
pub(super) enum Timer {
    /// Timer of the periodic work.
    Tick,
    /// Timer of the next subscription call for the endpoint list.
    Subscribe,
    /// Timer of the next request for the full list while removals are suspected.
    Resync,
}

impl Timer {
    /// Returns the action that sets the timer.
    pub(super) fn set(self, delay_ms: f64) -> Action {
        Action::SetTimer { delay_ms, token: self.token() }
    }

    pub(super) fn token(self) -> u64 {
        match self {
            Timer::Tick => 0,
            Timer::Subscribe => 1,
            Timer::Resync => 2,
        }
    }

    pub(super) fn from_token(token: u64) -> Option<Timer> {
        [Timer::Tick, Timer::Subscribe, Timer::Resync].into_iter().find(|timer| timer.token() == token)
    }
}
