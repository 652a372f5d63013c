//! Time limit of calls, which adapts to how late a registry's answers arrive.
//!
//! Each task that calls registries owns one [`AnswerTime`] and records the end of each call in it. A fixed time limit
//! would treat a registry whose answers take longer as unreachable for ever.

use std::time::Duration;

/// Shortest time limit. The platform counts a call as broken 2 s after its wait.
const MIN_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Longest time limit, so that a call that is never answered ends.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(16);
/// Divisor of the share by which the expected lateness shrinks with each answer that is less late.
const LATENESS_DECAY: u32 = 4;

/// Expected lateness of answers: the time that they take beyond the wait that the call allows.
#[derive(Debug, Default)]
pub struct AnswerTime {
    lateness: Duration,
    /// Calls in a row that ended at their time limit.
    timeouts: u32,
}

impl AnswerTime {
    /// Records an answer that arrived `elapsed` after the start of its call, which allowed a delay of `wait`.
    ///
    /// A later answer than expected raises the expected lateness at once; others reduce it by a quarter.
    pub fn record_answer(&mut self, elapsed: Duration, wait: Duration) {
        self.timeouts = 0;
        let decayed = self.lateness - self.lateness / LATENESS_DECAY;
        self.lateness = elapsed.saturating_sub(wait).max(decayed);
    }

    /// Records a call that ended at its time limit.
    pub fn record_timeout(&mut self) {
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// Returns the expected lateness.
    pub fn lateness(&self) -> Duration {
        self.lateness
    }

    /// Returns whether the last call ended at its time limit.
    pub fn has_timed_out(&self) -> bool {
        self.timeouts > 0
    }

    /// Returns the time after a call's wait for which its answer is awaited: at least twice the expected lateness, and
    /// twice as long after each timeout.
    pub fn time_limit(&self) -> Duration {
        let factor = 2u32.saturating_pow(self.timeouts);
        MIN_TIME_LIMIT.saturating_mul(factor).max(self.lateness * 2).min(MAX_TIME_LIMIT)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/registry/answer_time.rs"]
mod tests;
