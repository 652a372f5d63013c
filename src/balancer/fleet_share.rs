//! This instance's share of the budgets of the fleet, and its position among the live instances. Both are
//! updated when the membership reports the live instances, and the share also on each tick. Tenant quotas,
//! warm-up budgets and the subset's overlap depend on the share.

use super::Balancer;
use crate::interface::Settings;

/// Fractional part of the golden ratio: the fractions of any number of its multiples spread evenly over the
/// unit interval.
pub(super) const GOLDEN_RATIO: f64 = 0.618_033_988_75;
/// Time constant (ms) with which the share of instances that have left is taken over.
const ABSORB_DEPARTED_MS: f64 = 30_000.0;

/// State of this instance's share and position in the fleet.
pub(super) struct FleetShare {
    /// Number of instances that share the budgets, by the last report.
    live_instances: f64,
    /// Number of instances by which shared budgets are divided; it follows `live_instances` up at once and
    /// down slowly.
    pub(super) divisor: f64,
    /// This instance's position among `positions`, in an order that is the same at all instances.
    position: f64,
    /// Number of positions, which the ring of endpoints is divided into.
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

    /// Slowly takes over the share of instances that have left.
    pub(super) fn absorb_departed(&mut self, passed_ms: f64) {
        let surplus = self.divisor - self.live_instances;
        self.divisor = self.live_instances.max(self.divisor - surplus * passed_ms / ABSORB_DEPARTED_MS);
    }

    /// Returns the index at which this instance's segment starts in a ring of `ring_len` endpoints.
    pub(super) fn segment_start(&self, ring_len: usize) -> usize {
        (self.position * ring_len as f64 / self.positions) as usize
    }
}

impl Balancer {
    /// Applies a report of the live instances.
    ///
    /// Guards against network partitions, in which each side would take the full budget of the fleet and
    /// endpoints would get twice the load that they can handle. Inputs: the numbers of live and known
    /// instances, and this instance's rank among the live ones. The share shrinks at once when instances
    /// appear. It grows slowly, and only in a strict majority of all instances that are known or configured:
    /// at most one side is a majority, so the sides together stay below one and a half budgets.
    pub(super) fn on_peers(&mut self, now_ms: f64, alive: u32, known: u32, rank: Option<u32>) {
        let all = known.max(self.settings.instance_count);
        let is_majority = 2 * u64::from(alive) > u64::from(all);
        let share = &mut self.fleet_share;
        share.live_instances = f64::from(if is_majority { alive } else { all }.max(1));
        share.divisor = share.divisor.max(share.live_instances);
        let configured_index = f64::from(self.settings.instance_index);
        if let Some(rank) = rank.filter(|rank| *rank < alive) {
            // Instances that see few others may all have the same rank, so their configured index separates
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

    /// Returns this instance's share of the budgets of the fleet, from 0 to 1.
    pub fn share(&self) -> f64 {
        1.0 / self.fleet_share.divisor
    }
}
