//! How often discovery is asked, and how soon again after a failure.

use crate::client::pauses::Bounds;
use std::time::Duration;

/// Pauses after failed calls, where the grace of a drain allows for them.
const PAUSES: Bounds = [Duration::from_millis(33), Duration::from_millis(133)];
/// How late a call may be before a further one (a hedge) goes out. Where lists are pushed the grace of a drain may ask
/// for less; where they are asked for each call costs discovery, and news counts as told after 6 s, whatever the settings.
const HEDGE_AFTER: Duration = Duration::from_millis(200);
const HEDGE_AFTER_ASKED: Duration = Duration::from_millis(500);
/// No setting makes calls follow each other faster than this.
const LEAST: Duration = Duration::from_millis(10);

/// How often discovery is asked.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The list is asked for when it is wanted, rather than watched all the time.
    pub(super) must_ask: bool,
    pub(super) hedge_after: Duration,
    pub(super) pauses: Bounds,
}

impl Pace {
    /// What an agent has counts as told whether it is asked or not: at its return a call must be with it, and answered,
    /// within half the grace of a drain. Pauses grow by up to as much again.
    pub fn new(must_ask: bool, drain_grace: Duration) -> Self {
        let hedge_after =
            if must_ask { HEDGE_AFTER_ASKED } else { HEDGE_AFTER.min(drain_grace / 2).max(LEAST) };
        let pauses = PAUSES.map(|pause| pause.min(drain_grace / 4).max(LEAST));
        Pace { must_ask, hedge_after, pauses }
    }
}
