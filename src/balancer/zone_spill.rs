//! Zone spill: determines the share of calls that leave the local zone, where crossing zones has a price. A
//! PI controller, run on each tick, moves calls to other zones while the latency in the local zone exceeds
//! the latency elsewhere by more than the price. Missing endpoints in the local zone raise the share at once
//! (`subset`).

/// Price of crossing zones up to which all zones are pooled, because pooling gains more than it costs.
const MAX_NEGLIGIBLE_PRICE: f64 = 0.01;
/// Excess latency, in latency objectives, that is accepted to avoid crossings at a price of 1. It applies to
/// the mean latency; the slowest calls grow by far more.
const EXCESS_LATENCY_PER_PRICE: f64 = 0.25;
/// Proportional gain: share of the calls spilled per latency objective of excess latency above the price.
const PROPORTIONAL_GAIN: f64 = 1.0;
/// Integral gain per second. Queues delay the latency that the controller sees, so a higher gain makes it
/// oscillate.
const INTEGRAL_GAIN_PER_S: f64 = 0.4;
/// Time constant (ms) with which excess latency decays, so that a zone without calls is tried again.
const EXCESS_DECAY_MS: f64 = 8000.0;
/// Weight of one answer in the smoothed excess latency.
const SMOOTHING: f64 = 0.1;

/// State of the zone spill controller.
#[derive(Default)]
pub(super) struct ZoneSpill {
    /// Share of the calls that leave the local zone, from 0 to 1.
    pub(super) fraction: f64,
    integral: f64,
    /// Smoothed latency above the baseline in the local zone, in latency objectives.
    local_excess_latency: f64,
    /// Smoothed latency above the baseline in the other zones, in latency objectives.
    remote_excess_latency: f64,
}

impl ZoneSpill {
    /// Returns whether the local zone is preferred at the given price of crossing zones.
    pub(super) fn prefers_local_zone(cross_zone_price: f64) -> bool {
        cross_zone_price > MAX_NEGLIGIBLE_PRICE
    }

    /// Records a call's latency above the baseline, in latency objectives.
    pub(super) fn record(&mut self, local: bool, excess_latency: f64) {
        let zone = if local { &mut self.local_excess_latency } else { &mut self.remote_excess_latency };
        *zone += (excess_latency - *zone) * SMOOTHING;
    }

    /// Advances the controller by the time since the last tick.
    pub(super) fn update(&mut self, passed_ms: f64, cross_zone_price: f64) {
        self.local_excess_latency -= self.local_excess_latency * passed_ms / EXCESS_DECAY_MS;
        self.remote_excess_latency -= self.remote_excess_latency * passed_ms / EXCESS_DECAY_MS;
        let error = self.local_excess_latency
            - self.remote_excess_latency
            - cross_zone_price * EXCESS_LATENCY_PER_PRICE;
        self.integral = (self.integral + INTEGRAL_GAIN_PER_S * error * passed_ms / 1000.0).clamp(0.0, 1.0);
        self.fraction = (self.integral + PROPORTIONAL_GAIN * error).clamp(0.0, 1.0);
    }
}
