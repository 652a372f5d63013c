//! What operators are told of a copy's backends.

use super::Balancer;
use super::state::Backend;
use crate::interface::*;

const SEEN_ERROR: f64 = 0.01; // error rate at which a backend gets clearly less

impl Balancer {
    /// Whether it is listed, or has calls of this copy out still.
    pub fn knows(&self, backend: BackendId) -> bool {
        self.backends.contains_key(&backend)
    }

    /// Whether it is listed.
    pub fn lists(&self, backend: BackendId) -> bool {
        self.backends.get(&backend).is_some_and(|b| b.entry.phase != Phase::Gone)
    }

    /// How many stay in service though the list lacks them, as in the [`Balancer::census`].
    pub fn unlisted(&self) -> usize {
        self.roster.doubted.len()
    }

    /// How many backends are listed, and how many of them this copy avoids.
    pub fn census(&self) -> Census {
        let listed = self.backends.iter().map(|(_, b)| b).filter(|b| b.entry.phase != Phase::Gone);
        let avoided = |b: &&Backend| b.entry.phase == Phase::Draining || b.ejected();
        let unlisted = listed.clone().filter(|b| b.unlisted.is_some()).count();
        Census { listed: listed.clone().count(), excluded: listed.filter(avoided).count(), unlisted }
    }

    /// The route table's weights that picks follow, of all backends that take work.
    pub fn weights(&self) -> impl Iterator<Item = (BackendId, f64)> {
        self.roster.members.iter().map(|id| (*id, self.backends[id].route))
    }

    /// What each backend in the list gets, and why it is less than its weight says.
    pub fn standings(&self, now: f64) -> impl Iterator<Item = (BackendId, TrafficShare)> {
        let listed = self.backends.iter().filter(|(_, b)| b.entry.phase != Phase::Gone);
        listed.map(move |(id, b)| {
            let standing = match () {
                () if b.entry.phase == Phase::Draining => TrafficShare::Draining,
                () if b.ejected() => TrafficShare::Ejected,
                () if b.warmth(&self.s.rules, now) < 1.0 => TrafficShare::WarmingUp,
                () if self.seat(*id).is_none() => TrafficShare::OutsideSubset,
                () if b.error > SEEN_ERROR || self.slowness(b) > 1.0 => TrafficShare::Slow,
                () => TrafficShare::Full,
            };
            (*id, standing)
        })
    }
}
