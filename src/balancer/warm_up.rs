//! Warm-up: how much an endpoint whose process has just started is sent.
//!
//! A cold process bears part of its full capacity, growing over the warm-up time, and fails when it is sent a
//! multiple of that. Until it is warm, each send takes a token of its budget; tokens are granted on each
//! tick.

use super::Balancer;
use super::concurrency_limit::{RATE_FALL_MS, RATE_RISE_MS};
use crate::interface::Rules;

/// Part of an endpoint's warm-up budget that is used: endpoints differ, and connecting costs as well.
const BUDGET_SHARE: f64 = 0.5;

/// What warm-up budgets are computed from.
pub(super) struct WarmUp {
    /// Capacity of the tier, in warm endpoints.
    pub(super) tier_capacity: f64,
    /// Rate of answers (per ms) that a warm endpoint has given to this instance.
    endpoint_rate: f64,
    /// Processes on this host that share this instance's budgets while one replaces another.
    pub(super) local_processes: f64,
}

impl WarmUp {
    pub(super) fn new() -> Self {
        WarmUp { tier_capacity: 1.0, endpoint_rate: 0.0, local_processes: 1.0 }
    }

    /// Learns the rate of a warm endpoint: quickly if it is higher, slowly if it is lower.
    fn learn_rate(&mut self, rate: f64, passed_ms: f64) {
        let learn_ms = if rate < self.endpoint_rate { RATE_FALL_MS } else { RATE_RISE_MS };
        self.endpoint_rate += (rate - self.endpoint_rate) * (passed_ms / learn_ms).min(1.0);
    }
}

impl Balancer {
    /// Grants the cold endpoints of the subset their tokens for the time since the last tick.
    ///
    /// Failure: a cold process fails under the sum of what all instances send. Inputs: the rate of a warm
    /// endpoint (per ms), the least capacity that the endpoint has by now, and by how many instances and
    /// local processes it is shared. Before a rate is known, an endpoint bears one call after the other from
    /// all instances together.
    pub(super) fn grant_warm_up_tokens(&mut self, now_ms: f64, passed_ms: f64) {
        self.warm_up.learn_rate(self.concurrency_limit.endpoint_rate, passed_ms);
        let rules = &self.settings.rules;
        let budget_share = (BUDGET_SHARE * rules.overload_multiple).min(1.0);
        // Each endpoint is in the subsets of this part of the instances.
        let members = self.endpoint_set.members.len().max(1) as f64;
        let subset_share = self.subset.members.len().max(1) as f64 / members;
        let serial_rate = subset_share / (self.concurrency_limit.mean_answer_ms() * self.fleet_share.divisor);
        let rate = self.warm_up.endpoint_rate.max(serial_rate);
        let warm_tokens = rate * budget_share * passed_ms / (self.warm_up.local_processes * subset_share);
        for cold in self.endpoint_set.warming_up() {
            let partition_len = self.endpoint_set.partitions[cold.partition].len();
            let segment = &self.subset.segments[cold.partition];
            if segment.index_of(cold.partition_rank, partition_len).is_none() {
                continue;
            }
            let Some(endpoint) = self.endpoints.get_mut(&cold.id) else { continue };
            let granted = warm_tokens * endpoint.warm_up_fraction(rules, now_ms);
            endpoint.warm_up_tokens = (endpoint.warm_up_tokens + granted).min(1.0 + granted);
        }
    }
}

impl Rules {
    /// How far an endpoint is on its way from cold to warm, from 0 to 1.
    pub(super) fn warm_up_progress(&self, started_at_ms: f64, now_ms: f64) -> f64 {
        if started_at_ms > 0.0 {
            ((now_ms - started_at_ms) / self.warm_up_ms.max(1.0)).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }

    /// Capacity that an endpoint has at least by now, as a share of its full one.
    pub(super) fn warm_up_fraction(&self, started_at_ms: f64, now_ms: f64) -> f64 {
        let progress = self.warm_up_progress(started_at_ms, now_ms);
        self.initial_capacity.min(1.0) * (1.0 - progress) + progress
    }
}
