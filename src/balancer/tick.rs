//! The tick, which runs the periodic work of all rules in a fixed order. Each step is implemented in the
//! module of its rule. A tick is due every ten clock steps; a clock step is `tick_ms` of the settings.

use super::{Balancer, Timer};
use crate::interface::Action;

/// Number of clock steps (`tick_ms`) between two ticks of the balancer: few enough for short queue times, and
/// enough to keep the ticks cheap.
const CLOCK_STEPS_PER_TICK: f64 = 10.0;

impl Balancer {
    /// Returns the time (ms) between two ticks of the balancer, at least 1 ms.
    pub(super) fn tick_interval_ms(&self) -> f64 {
        (self.settings.tick_ms * CLOCK_STEPS_PER_TICK).max(1.0)
    }

    /// Runs the periodic work and sets the timer for the next tick.
    pub(super) fn tick(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        out.push(Timer::Tick.set(self.tick_interval_ms()));
        let passed_ms = (now_ms - self.last_tick_ms).max(0.0);
        self.last_tick_ms = now_ms;
        self.concurrency_limit.update(passed_ms, self.warm_up.tier_capacity);
        self.zone_spill.update(passed_ms, self.settings.goal.cross_zone_price);
        self.fleet_share.absorb_departed(passed_ms);
        self.resize_subset(now_ms, passed_ms);
        self.outliers.update_median(&self.subset.members, &self.endpoints);
        self.admission.decay_peak(passed_ms);
        self.shed_overdue_in_key_queues(now_ms, out);
        self.dispatch_key_heads(now_ms);
        self.release_stalled_calls(now_ms);
        self.withdraw_confirmed_removals(now_ms, out);
        self.sweep_queues(now_ms, out);
        self.grant_warm_up_tokens(now_ms, passed_ms);
        self.eject_hung_endpoints(now_ms);
    }
}
