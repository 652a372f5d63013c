//! The fleet share: by how many live instances all that the fleet shares is divided, and where this instance
//! stands among them.
//!
//! It is updated when the membership reports the live instances, and on each tick. Tenant quotas, warm-up
//! budgets and the subset's overlap are divided by it.

use super::Balancer;
use crate::interface::Settings;

/// The golden ratio's fraction: its multiples spread evenly over the unit interval, however many there are.
pub(super) const GOLDEN_RATIO: f64 = 0.618_033_988_75;
/// Time (ms) in which the share of instances that have left is taken over.
const TAKE_OVER_MS: f64 = 30_000.0;

/// This instance's part of what the fleet shares.
pub(super) struct FleetShare {
    /// Instances that share, by the last report.
    live_instances: f64,
    /// Instances by which shared budgets are divided: follows `live_instances` up at once and down slowly.
    pub(super) divisor: f64,
    /// This instance's position among `positions`, in the order that all instances know.
    position: f64,
    positions: f64,
}

impl FleetShare {
    pub(super) fn new(settings: &Settings) -> Self {
        let instances = f64::from(settings.instance_count);
        FleetShare {
            live_instances: instances,
            divisor: instances,
            position: f64::from(settings.instance_index),
            positions: instances,
        }
    }

    /// Takes over the share of instances that have left, slowly.
    pub(super) fn take_over(&mut self, passed_ms: f64) {
        let surplus = self.divisor - self.live_instances;
        self.divisor = self.live_instances.max(self.divisor - surplus * passed_ms / TAKE_OVER_MS);
    }

    /// Index where this instance's segment starts in a ring of that length.
    pub(super) fn start_in(&self, ring_len: usize) -> usize {
        (self.position * ring_len as f64 / self.positions) as usize
    }
}

impl Balancer {
    /// Applies a report of the live instances.
    ///
    /// Failure: in a network partition each side would take the full budget of the fleet, and endpoints would
    /// get twice what they bear. Inputs: instances alive and known, this instance's rank among those alive.
    /// The share shrinks at once when instances appear; it grows slowly, and only in a strict majority of all
    /// that are known or configured. One side at most is that, so the sides together stay under one and a
    /// half budgets.
    pub(super) fn on_peers(&mut self, now_ms: f64, alive: u32, known: u32, rank: Option<u32>) {
        let all = known.max(self.settings.instance_count);
        let is_majority = 2 * u64::from(alive) > u64::from(all);
        let share = &mut self.fleet_share;
        share.live_instances = f64::from(if is_majority { alive } else { all }.max(1));
        share.divisor = share.divisor.max(share.live_instances);
        let configured_index = f64::from(self.settings.instance_index);
        if let Some(rank) = rank.filter(|rank| *rank < alive) {
            // Instances that see few others may all have the same rank: their configured index separates
            // them.
            let offset = if is_majority { 0.0 } else { (configured_index * GOLDEN_RATIO).fract() };
            share.position = f64::from(rank) + offset;
            share.positions = f64::from(alive);
        } else {
            share.position = configured_index;
            share.positions = f64::from(self.settings.instance_count);
        }
        self.resize_subset(now_ms, 0.0);
    }

    /// The part that this instance takes of what the instances share, from 0 to 1.
    pub fn share(&self) -> f64 {
        1.0 / self.fleet_share.divisor
    }
}
