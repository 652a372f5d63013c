//! Schedule of discovery's calls: the delays after failed calls and the intervals of hedged calls.
//!
//! A [`PollSchedule`] is created once from the configuration and has no mutable state. Each watch creates a
//! [`HedgeSchedule`] from it, which stores how far its intervals have grown.

use crate::client::backoff::{Backoff, BackoffBounds};
use crate::client::registry::CallError;
use serde::Deserialize;
use std::time::Duration;

/// Range of the delays after failed calls; a short drain grace shortens them.
const FAILED_CALL_BACKOFF: BackoffBounds =
    BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(133) };
/// Delay of a watch's answer after which a hedge is sent; a short drain grace shortens it.
const WATCH_HEDGE_AFTER: Duration = Duration::from_millis(200);
/// Delay of an answer after which a hedge is sent where lists are polled on demand. There each call loads discovery,
/// and a change must be in force only after 6 s, whatever is configured.
const POLL_HEDGE_AFTER: Duration = Duration::from_millis(500);
/// Longest time that a prompt registry holds a watch open before it answers without a change.
///
/// A watch that will never be answered is noticed only after this wait. A change must be in force 6 s after it was
/// made, so three unanswered watches in a row have to be noticed well within that time.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest time that any registry holds a watch open.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(3);
/// Shortest time after a poll's wait for which its answer is awaited before the poll fails. The platform counts a call as
/// broken 2 s after its wait.
const MIN_POLL_TIME_LIMIT: Duration = Duration::from_secs(2);
/// Longest time after a poll's wait for which its answer is awaited, so that a watch that is never answered is replaced
/// while its change is not yet due, 6 s after it was made.
const MAX_POLL_TIME_LIMIT: Duration = Duration::from_secs(3);
/// Time by which an answer may exceed the expected lateness before its poll fails.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(500);
/// Longest delay of a hedge because of late answers, where calls are not free.
const MAX_HEDGE_DELAY: Duration = Duration::from_secs(2);
/// Lower bound of all delays and hedge intervals, whatever the settings.
const MIN_DELAY: Duration = Duration::from_millis(10);
/// Smallest accepted [`PollBackoff::max_ms`].
const MIN_BACKOFF_MAX_MS: u64 = 100;
/// Largest accepted [`PollBackoff::max_ms`].
const MAX_BACKOFF_MAX_MS: u64 = 60_000;

/// Configured backoff for calls to an unreachable registry.
///
/// When all proxies lose the registry at once, their retries would overload it when it returns. Delays therefore double
/// up to `max_ms`, plus jitter of up to the delay itself. `N` proxies make `N / (1.5 * max_ms)` calls per millisecond:
/// 4,100 proxies make about 1,400 calls per second at the default, and about 20,000 without a backoff.
///
/// A registry that is reachable again is called within `2 * max_ms`: at the default a change is in force after 6 s,
/// which includes 2 s for the call itself. Several registries are called in turn and share this time, so each of them
/// is called once within it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PollBackoff {
    /// Longest delay between two calls before jitter, ms: from 100 to 60,000, by default 2,000.
    pub max_ms: u64,
}

impl Default for PollBackoff {
    fn default() -> Self {
        PollBackoff { max_ms: 2000 }
    }
}

impl PollBackoff {
    /// Returns the setting that is out of bounds, with its bounds, or `None` if all are valid.
    pub fn invalid(&self) -> Option<String> {
        let accepted = MIN_BACKOFF_MAX_MS..=MAX_BACKOFF_MAX_MS;
        (!accepted.contains(&self.max_ms))
            .then(|| format!("max_ms: from {MIN_BACKOFF_MAX_MS} to {MAX_BACKOFF_MAX_MS}"))
    }
}

/// Delays and intervals with which discovery is polled.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    /// Whether lists are polled only when the listener needs one, instead of being watched all the time.
    pub(super) on_demand: bool,
    hedge_after: Duration,
    failed_call_backoff: BackoffBounds,
    /// Longest delay, if a [`PollBackoff`] is configured.
    max_delay: Option<Duration>,
}

impl PollSchedule {
    /// Creates a schedule without a [`PollBackoff`].
    ///
    /// The platform counts a change as delivered once its agent has it, whether or not the proxy has polled it. When
    /// the agent returns, a call must reach it and be answered within half the drain grace. Jitter at most doubles a
    /// delay, so delays before jitter are limited to a quarter of the grace.
    pub fn new(on_demand: bool, drain_grace: Duration) -> Self {
        let hedge_after = match on_demand {
            true => POLL_HEDGE_AFTER,
            false => WATCH_HEDGE_AFTER.min(drain_grace / 2).max(MIN_DELAY),
        };
        let within_grace = |delay: Duration| delay.min(drain_grace / 4).max(MIN_DELAY);
        let failed_call_backoff = BackoffBounds {
            min: within_grace(FAILED_CALL_BACKOFF.min),
            max: within_grace(FAILED_CALL_BACKOFF.max),
        };
        PollSchedule { on_demand, hedge_after, failed_call_backoff, max_delay: None }
    }

    /// Returns this schedule with delays and hedge intervals that grow to `backoff.max_ms` while no call is answered.
    pub fn with_backoff(self, backoff: PollBackoff) -> Self {
        PollSchedule { max_delay: Some(Duration::from_millis(backoff.max_ms)), ..self }
    }

    /// Returns the range of the delays after failed calls to `registries` addresses that are called in turn.
    pub(super) fn backoff_bounds(&self, registries: usize) -> BackoffBounds {
        let BackoffBounds { min, max } = self.failed_call_backoff;
        let registries = u32::try_from(registries.max(1)).unwrap_or(u32::MAX);
        let max = self.max_delay.map_or(max, |max_delay| (max_delay / registries).max(min));
        BackoffBounds { min, max }
    }

    /// Creates the schedule of hedged calls for one watch.
    pub(super) fn hedge_schedule(&self) -> HedgeSchedule {
        let min = self.hedge_after;
        match self.max_delay {
            None => HedgeSchedule::Fixed(min),
            Some(max) => HedgeSchedule::Exponential(Backoff::new(BackoffBounds { min, max: max.max(min) })),
        }
    }

    /// Returns the time after a poll's wait at which the poll fails, where answers are `lateness` late. A poll after a
    /// silent one lasts for the longest time, since a registry that is back may be slow.
    pub(super) fn poll_time_limit(&self, lateness: Duration, follows_timeout: bool) -> Duration {
        if follows_timeout {
            return MAX_POLL_TIME_LIMIT;
        }
        (lateness + LATENESS_TOLERANCE).clamp(MIN_POLL_TIME_LIMIT, MAX_POLL_TIME_LIMIT)
    }

    /// Returns whether calls cost the registry nothing: an agent on the proxy's own machine pushes the lists.
    ///
    /// Whatever such an agent has counts as told, so that a watch is kept open at it also while answers are late. Where
    /// lists are polled on demand or a [`PollBackoff`] is configured, each call loads a registry.
    pub(super) fn are_calls_free(&self) -> bool {
        !self.on_demand && self.max_delay.is_none()
    }

    /// Returns the wait of a watch, where answers are `lateness` late.
    ///
    /// Watches that follow each other at late answers overlap. With three calls in flight at most, half the lateness is
    /// enough for one of them to be within its wait at any time.
    pub(super) fn watch_wait(&self, lateness: Duration) -> Duration {
        match self.are_calls_free() {
            true => (lateness / 2).clamp(WATCH_WAIT, MAX_WATCH_WAIT),
            false => WATCH_WAIT,
        }
    }

    /// Returns whether watches follow each other before the answers to earlier ones, where answers are `lateness` late.
    pub(super) fn overlaps_watches(&self, lateness: Duration) -> bool {
        self.are_calls_free() && lateness > self.hedge_after
    }

    /// Returns the time after a call's wait at which its answer is due, at a hedge interval, where answers are
    /// `lateness` late.
    pub(super) fn due_after(&self, interval: Duration, lateness: Duration) -> Duration {
        match self.are_calls_free() {
            true => interval + lateness,
            false => interval.max(lateness * 3 / 2),
        }
    }

    /// Returns the time after the newest call's wait at which a further call is made although no answer is due yet, or
    /// `None` if none is made.
    ///
    /// Where calls are free this is the next watch. Elsewhere it is a hedge, as a call may be lost: hedges that are sent
    /// while an answer is merely as late as usual would load a slow registry further.
    pub(super) fn further_call_after(&self, interval: Duration, lateness: Duration) -> Option<Duration> {
        match self.are_calls_free() {
            true => self.overlaps_watches(lateness).then_some(interval),
            false => Some(interval.max(MAX_HEDGE_DELAY)),
        }
    }

    /// Returns the rest of the delay after a failed poll, whose last call began `since_last_call` ago.
    ///
    /// A poll that timed out has already delayed the next call and left no call pending. With a [`PollBackoff`] the time
    /// since its last call, which may be a hedge, is subtracted; on a watch without one the next call follows without a
    /// delay.
    pub(super) fn remaining_delay(
        &self,
        delay: Duration,
        error: &CallError,
        since_last_call: Duration,
    ) -> Duration {
        match error {
            CallError::TimedOut if self.max_delay.is_some() => delay.saturating_sub(since_last_call),
            CallError::TimedOut if !self.on_demand => Duration::ZERO,
            _ => delay,
        }
    }
}

/// Intervals between the hedged calls that are sent while an answer is late.
pub(super) enum HedgeSchedule {
    /// Constant interval.
    Fixed(Duration),
    /// Intervals that grow until a poll is answered; they keep growing across polls that stay unanswered.
    Exponential(Backoff),
}

impl HedgeSchedule {
    /// Returns the interval before the next hedged call.
    pub(super) fn next_interval(&mut self) -> Duration {
        match self {
            HedgeSchedule::Fixed(interval) => *interval,
            HedgeSchedule::Exponential(backoff) => backoff.next_delay(),
        }
    }

    /// Returns to the shortest interval, after an answer.
    pub(super) fn reset(&mut self) {
        if let HedgeSchedule::Exponential(backoff) = self {
            backoff.reset();
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/schedule.rs"]
mod tests;
