//! How often discovery is asked, and how soon again after a failure.

use crate::client::pauses::{Bounds, Pauses};
use crate::client::registry::Fault;
use serde::Deserialize;
use std::time::Duration;

/// Pauses after failed calls, where the grace of a drain allows for them.
const PAUSES: Bounds = [Duration::from_millis(33), Duration::from_millis(133)];
/// How late a call may be before a further one (a hedge) goes out. Where lists are pushed the grace of a drain may ask
/// for less; where they are asked for each call costs discovery, and news counts as told after 6 s, whatever the settings.
const HEDGE_AFTER: Duration = Duration::from_millis(200);
const HEDGE_AFTER_ASKED: Duration = Duration::from_millis(500);
/// No setting makes calls follow each other faster than this.
const LEAST: Duration = Duration::from_millis(10);
/// From how short to how long the longest pause may be, ms.
const MAX_MS: (u64, u64) = (100, 60_000);

/// How seldom a registry is asked that cannot be reached, for the sake of one that comes back.
///
/// Pauses double up to `max_ms` and have up to as much again added by chance. `N` proxies then make `N / (1.5 * max_ms)`
/// calls a millisecond: 4,100 proxies some 1,400 a second at the default, where they make some 20,000 without a backoff.
/// A registry that can be reached again is asked by each proxy within `2 * max_ms`: at the default a change is in force
/// 6 s on, with 2 s for the call itself. Where several registries are named they share this time: each is asked that
/// often, in turn.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backoff {
    /// The longest pause between two calls, before chance adds up to as much again, ms.
    pub max_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { max_ms: 2000 }
    }
}

impl Backoff {
    /// What is wrong with it, if anything is.
    pub fn invalid(&self) -> Option<String> {
        let (least, most) = MAX_MS;
        (!(least..=most).contains(&self.max_ms)).then(|| format!("max_ms: from {least} to {most}"))
    }
}

/// How often discovery is asked.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The list is asked for when it is wanted, rather than watched all the time.
    pub(super) must_ask: bool,
    hedge_after: Duration,
    pauses: Bounds,
    /// The longest pause where a [`Backoff`] is configured.
    max_pause: Option<Duration>,
}

impl Pace {
    /// What an agent has counts as told whether it is asked or not: at its return a call must be with it, and answered,
    /// within half the grace of a drain. Pauses grow by up to as much again.
    pub fn new(must_ask: bool, drain_grace: Duration) -> Self {
        let hedge_after =
            if must_ask { HEDGE_AFTER_ASKED } else { HEDGE_AFTER.min(drain_grace / 2).max(LEAST) };
        let pauses = PAUSES.map(|pause| pause.min(drain_grace / 4).max(LEAST));
        Pace { must_ask, hedge_after, pauses, max_pause: None }
    }

    /// The same pace, but less and less often while nothing is answered.
    pub fn with_backoff(self, backoff: Backoff) -> Self {
        Pace { max_pause: Some(Duration::from_millis(backoff.max_ms)), ..self }
    }

    /// Pauses after failed calls to so many registries in turn.
    pub(super) fn pauses(&self, registries: usize) -> Bounds {
        let [first, last] = self.pauses;
        let turns = u32::try_from(registries.max(1)).unwrap_or(u32::MAX);
        [first, self.max_pause.map_or(last, |max| (max / turns).max(first))]
    }

    /// The times between the calls that go out while one is late.
    pub(super) fn hedges(&self) -> Hedges {
        match self.max_pause {
            None => Hedges::Steady(self.hedge_after),
            Some(max) => Hedges::Backoff(Pauses::new([self.hedge_after, max.max(self.hedge_after)])),
        }
    }

    /// How much of a pause is left after a call that took so long. Silence has been a pause by itself, and no call is
    /// out after it.
    pub(super) fn rest(&self, pause: Duration, fault: &Fault, took: Duration) -> Duration {
        match fault {
            Fault::Silent if self.max_pause.is_some() => pause.saturating_sub(took),
            Fault::Silent if !self.must_ask => Duration::ZERO,
            _ => pause,
        }
    }
}

/// The times between the calls that go out while one is late.
pub(super) enum Hedges {
    /// Always the same.
    Steady(Duration),
    /// Longer and longer until something is answered, also from one late call to the next.
    Backoff(Pauses),
}

impl Hedges {
    /// The time until the next one.
    pub(super) fn next_interval(&mut self) -> Duration {
        match self {
            Hedges::Steady(interval) => *interval,
            Hedges::Backoff(pauses) => pauses.next_pause(),
        }
    }

    /// Something was answered.
    pub(super) fn answered(&mut self) {
        if let Hedges::Backoff(pauses) = self {
            pauses.reset();
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/pace.rs"]
mod tests;
