//! Warm-up (slow start): limits the sends to an endpoint whose process has just started. A cold process has
//! part of its full capacity, growing over the warm-up time, and fails when it is sent a multiple of that.
//! Until it is warm, each send takes a token from its budget; tokens are granted on each tick.

use super::Balancer;
use super::concurrency_limit::{RATE_FALL_MS, RATE_RISE_MS};
use crate::interface::Rules;

/// Share of an endpoint's warm-up budget that is granted: endpoints differ, and connecting costs as well.
const BUDGET_SHARE: f64 = 0.5;

/// Inputs of the warm-up budgets.
pub(super) struct WarmUp {
    /// Capacity of the tier, in warm endpoints.
    pub(super) tier_capacity: f64,
    /// Smoothed rate of successful answers (per ms) that a warm endpoint gives to this instance.
    endpoint_rate: f64,
    /// Number of processes on this host that share this instance's budgets while one replaces another.
    pub(super) local_processes: f64,
}

impl WarmUp {
    pub(super) fn new() -> Self {
        WarmUp { tier_capacity: 1.0, endpoint_rate: 0.0, local_processes: 1.0 }
    }

    /// Updates the rate of a warm endpoint: a higher rate is learned quickly, a lower one slowly.
    fn learn_rate(&mut self, rate: f64, passed_ms: f64) {
        let time_constant_ms = if rate < self.endpoint_rate { RATE_FALL_MS } else { RATE_RISE_MS };
        self.endpoint_rate += (rate - self.endpoint_rate) * (passed_ms / time_constant_ms).min(1.0);
    }
}

impl Balancer {
    /// Grants the cold endpoints of the subset their tokens for the time since the last tick.
    ///
    /// Guards against the sum of what all instances send, under which a cold process fails. Inputs: the rate
    /// of a warm endpoint (per ms), the minimum capacity that the endpoint has by now, and the numbers of
    /// instances and local processes that share it. Before a rate is known, an endpoint is assumed to handle
    /// one call at a time from all instances together.
    pub(super) fn grant_warm_up_tokens(&mut self, now_ms: f64, passed_ms: f64) {
        self.warm_up.learn_rate(self.concurrency_limit.endpoint_rate, passed_ms);
        let rules = &self.settings.rules;
        let budget_share = (BUDGET_SHARE * rules.overload_multiple).min(1.0);
        // The share of the instances that have a given endpoint in their subset.
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
    /// Returns an endpoint's warm-up progress, from 0 (cold) to 1 (warm).
    pub(super) fn warm_up_progress(&self, started_at_ms: f64, now_ms: f64) -> f64 {
        if started_at_ms > 0.0 {
            ((now_ms - started_at_ms) / self.warm_up_ms.max(1.0)).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }

    /// Returns the minimum capacity that an endpoint has by now, as a share of its full capacity.
    pub(super) fn warm_up_fraction(&self, started_at_ms: f64, now_ms: f64) -> f64 {
        let progress = self.warm_up_progress(started_at_ms, now_ms);
        self.initial_capacity.min(1.0) * (1.0 - progress) + progress
    }
}
