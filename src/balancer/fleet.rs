//! What a copy knows of the other copies, and what operators want of all: its part, its place, its weights.

use super::Balancer;
use crate::interface::*;

const GOLDEN: f64 = 0.618_033_988_75; // its multiples lie evenly, however many there are

impl Balancer {
    /// A copy takes one part in `fleet` of what the copies share. It takes less at once when more appear, and
    /// more only slowly, and only beside a strict majority of all that are known or configured: of the sides
    /// of a split one can be that, so that their parts together stay under one and a half of the whole.
    pub(super) fn on_peers(&mut self, now: f64, alive: u32, known: u32, rank: Option<u32>) {
        let all = known.max(self.s.instance_count);
        let most = 2 * u64::from(alive) > u64::from(all);
        self.present = f64::from(if most { alive } else { all }.max(1));
        self.fleet = self.fleet.max(self.present);
        // Each side of a split covers all backends. Copies that see few others may all have the same rank:
        // there their configured numbers part them.
        let apart = if most { 0.0 } else { (f64::from(self.s.instance_index) * GOLDEN).fract() };
        self.place = match rank.filter(|r| *r < alive) {
            Some(rank) => [f64::from(rank) + apart, f64::from(alive)],
            None => [f64::from(self.s.instance_index), f64::from(self.s.instance_count)],
        };
        self.resize(now, 0.0);
    }

    /// The part that this copy takes of what the copies share, from 0 to 1.
    pub fn share(&self) -> f64 {
        1.0 / self.fleet
    }

    pub(super) fn on_weights(&mut self, now: f64, weights: Vec<(BackendId, f64)>) {
        let sound = |w: &f64| w.is_finite() && *w >= 0.0;
        self.routes = weights.into_iter().filter(|(_, w)| sound(w)).collect();
        for (id, b) in self.backends.iter_mut() {
            let route = self.routes.get(id).copied().unwrap_or(1.0);
            if std::mem::replace(&mut b.route, route) != route {
                self.roster.changed.insert(*id);
            }
        }
        self.update_roster(now);
    }
}
