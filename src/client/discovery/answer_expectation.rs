//! When the next answer to discovery's calls is due.
//!
//! While an answer is due later, the registry counts as slow as it was before. From the time at which an answer is due,
//! and after a failed call, the state of the registry is unknown until it answers: what was learnt before is no reason
//! to wait any longer.

use std::time::Duration;
use tokio::time::Instant;

/// Lateness of the latest answer, and the time at which the next answer is due.
#[derive(Debug, Default)]
pub(super) struct AnswerExpectation {
    lateness: Duration,
    /// `None` while no call has been made since the last answer.
    due: Option<Instant>,
}

impl AnswerExpectation {
    /// Returns the time by which the latest answer was late, beyond its call's wait.
    pub(super) fn lateness(&self) -> Duration {
        self.lateness
    }

    /// Returns the time at which the next answer is due, if one is expected.
    pub(super) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Returns whether an answer was due before now and did not arrive, or a call has failed since the last answer.
    pub(super) fn is_overdue(&self) -> bool {
        self.due.is_some_and(|due| due <= Instant::now())
    }

    /// Expects an answer at `due`, unless an earlier call is still without one.
    pub(super) fn expect(&mut self, due: Instant) {
        self.due.get_or_insert(due);
    }

    /// Records an answer that was between `min` and `max` late.
    pub(super) fn record_answer(&mut self, min: Duration, max: Duration) {
        self.lateness = self.lateness.clamp(min, max);
        self.due = None;
    }

    /// Records a failed call.
    pub(super) fn record_failure(&mut self) {
        let now = Instant::now();
        self.due = Some(self.due.map_or(now, |due| due.min(now)));
    }

    /// Forgets an answer that is not due yet, since its call was cancelled.
    pub(super) fn cancel(&mut self) {
        if !self.is_overdue() {
            self.due = None;
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/answer_expectation.rs"]
mod tests;
