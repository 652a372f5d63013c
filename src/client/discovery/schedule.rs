//! When discovery is polled: the delays after failed calls and the intervals of hedged calls.
//!
//! A [`PollSchedule`] is made once from the configuration and holds no state. A watch makes a [`HedgeSchedule`] from
//! it, which remembers how far its intervals have grown.

use crate::client::backoff::{Backoff, BackoffBounds};
use crate::client::registry::CallError;
use serde::Deserialize;
use std::time::Duration;

/// Delays after failed calls; a short drain grace shortens them.
const FAILED_CALL_BACKOFF: BackoffBounds =
    BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(133) };
/// How late a watch's answer may be before a hedge goes out; a short drain grace shortens it.
const WATCH_HEDGE_AFTER: Duration = Duration::from_millis(200);
/// How late an answer may be before a hedge goes out where lists are polled on demand. Each call costs discovery there,
/// and a change must be in force only 6 s on, whatever is configured.
const POLL_HEDGE_AFTER: Duration = Duration::from_millis(500);
/// The shortest delay or interval that any setting gives.
const MIN_DELAY: Duration = Duration::from_millis(10);
/// The smallest accepted [`PollBackoff::max_ms`].
const MIN_BACKOFF_MAX_MS: u64 = 100;
/// The largest accepted [`PollBackoff::max_ms`].
const MAX_BACKOFF_MAX_MS: u64 = 60_000;

/// How seldom an unreachable registry is called.
///
/// Failure: all proxies lose the registry at once, and their retries overload it when it returns. Delays therefore
/// double up to `max_ms`, with up to as much again of jitter. `N` proxies make `N / (1.5 * max_ms)` calls a
/// millisecond: 4,100 proxies some 1,400 a second at the default, where they make some 20,000 without a backoff.
///
/// A proxy calls a registry that is reachable again within `2 * max_ms`: at the default a change is in force 6 s on,
/// with 2 s for the call itself. Several registries share this time: each is called that often, in turn.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PollBackoff {
    /// The longest delay between two calls before jitter, ms: from 100 to 60,000, by default 2,000.
    pub max_ms: u64,
}

impl Default for PollBackoff {
    fn default() -> Self {
        PollBackoff { max_ms: 2000 }
    }
}

impl PollBackoff {
    /// The setting that is out of bounds and its bounds, if one is.
    pub fn invalid(&self) -> Option<String> {
        let accepted = MIN_BACKOFF_MAX_MS..=MAX_BACKOFF_MAX_MS;
        (!accepted.contains(&self.max_ms))
            .then(|| format!("max_ms: from {MIN_BACKOFF_MAX_MS} to {MAX_BACKOFF_MAX_MS}"))
    }
}

/// When discovery is polled.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    /// Lists are polled when the listener needs one, instead of watched all the time.
    pub(super) on_demand: bool,
    hedge_after: Duration,
    failed_call_backoff: BackoffBounds,
    /// The longest delay, where a [`PollBackoff`] is configured.
    max_delay: Option<Duration>,
}

impl PollSchedule {
    /// The schedule without a [`PollBackoff`].
    ///
    /// The platform counts a change as delivered once its agent has it, called or not. When the agent returns, a call
    /// must reach it and be answered within half the drain grace; delays grow by up to as much again by jitter, so
    /// that a quarter bounds them.
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

    /// The same schedule with delays and hedge intervals that grow to `backoff.max_ms` while nothing is answered.
    pub fn with_backoff(self, backoff: PollBackoff) -> Self {
        PollSchedule { max_delay: Some(Duration::from_millis(backoff.max_ms)), ..self }
    }

    /// The delays after failed calls to `registries` addresses in turn.
    pub(super) fn backoff_bounds(&self, registries: usize) -> BackoffBounds {
        let BackoffBounds { min, max } = self.failed_call_backoff;
        let registries = u32::try_from(registries.max(1)).unwrap_or(u32::MAX);
        let max = self.max_delay.map_or(max, |max_delay| (max_delay / registries).max(min));
        BackoffBounds { min, max }
    }

    /// The intervals of hedged calls.
    pub(super) fn hedge_schedule(&self) -> HedgeSchedule {
        let min = self.hedge_after;
        match self.max_delay {
            None => HedgeSchedule::Fixed(min),
            Some(max) => HedgeSchedule::Exponential(Backoff::new(BackoffBounds { min, max: max.max(min) })),
        }
    }

    /// What is left of the delay after a failed call that took `call_time`.
    ///
    /// A call that timed out has been a delay by itself and has left no call open, so that its time is subtracted, or
    /// on a watch without a [`PollBackoff`] stands for the delay.
    pub(super) fn remaining_delay(
        &self,
        delay: Duration,
        error: &CallError,
        call_time: Duration,
    ) -> Duration {
        match error {
            CallError::TimedOut if self.max_delay.is_some() => delay.saturating_sub(call_time),
            CallError::TimedOut if !self.on_demand => Duration::ZERO,
            _ => delay,
        }
    }
}

/// The intervals between the hedged calls that go out while an answer is late.
pub(super) enum HedgeSchedule {
    /// The same interval each time.
    Fixed(Duration),
    /// Intervals that grow until something is answered, also from one late poll to the next.
    Exponential(Backoff),
}

impl HedgeSchedule {
    /// The interval before the next hedged call.
    pub(super) fn next_interval(&mut self) -> Duration {
        match self {
            HedgeSchedule::Fixed(interval) => *interval,
            HedgeSchedule::Exponential(backoff) => backoff.next_delay(),
        }
    }

    /// Begins at the shortest interval again, after an answer.
    pub(super) fn reset(&mut self) {
        if let HedgeSchedule::Exponential(backoff) = self {
            backoff.reset();
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/schedule.rs"]
mod tests;
