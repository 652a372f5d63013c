//! Zone spill: which share of the calls leaves the local zone, where crossing zones has a price.
//!
//! A PI controller, run on each tick, moves calls to other zones while the latency in the local zone exceeds
//! the latency beyond it by more than the price. Missing endpoints in the local zone raise the share at once
//! (`subset`).

/// Price of crossing zones up to which all zones are pooled: pooling gains more than it costs.
const MAX_NEGLIGIBLE_PRICE: f64 = 0.01;
/// Excess latency, in latency objectives, that is accepted to save crossings at a price of 1. It is the
/// mean's: the slowest calls grow by far more.
const EXCESS_LATENCY_PER_PRICE: f64 = 0.25;
/// Share of the calls per latency objective of excess latency over the price.
const PROPORTIONAL_GAIN: f64 = 1.0;
/// The same for the integral, per second: a queue delays what the controller sees, and a higher gain makes it
/// oscillate.
const INTEGRAL_GAIN_PER_S: f64 = 0.4;
/// Time constant (ms) with which excess latency is forgotten: a zone without calls shows none and is tried
/// again.
const FORGET_MS: f64 = 8000.0;
/// Weight of one answer in a zone's excess latency.
const SMOOTHING: f64 = 0.1;

/// The controller's state.
#[derive(Default)]
pub(super) struct ZoneSpill {
    /// Share of the calls that leaves the zone.
    pub(super) fraction: f64,
    integral: f64,
    /// Latency over the baseline, in latency objectives, in the local zone.
    local_excess_latency: f64,
    /// The same in the other zones.
    remote_excess_latency: f64,
}

impl ZoneSpill {
    /// Whether the local zone is preferred at that price.
    pub(super) fn prefers_local_zone(cross_zone_price: f64) -> bool {
        cross_zone_price > MAX_NEGLIGIBLE_PRICE
    }

    /// Records an answer's latency over the baseline, in latency objectives.
    pub(super) fn record(&mut self, local: bool, excess_latency: f64) {
        let zone = if local { &mut self.local_excess_latency } else { &mut self.remote_excess_latency };
        *zone += (excess_latency - *zone) * SMOOTHING;
    }

    /// Runs the controller for the time since the last tick.
    pub(super) fn update(&mut self, passed_ms: f64, cross_zone_price: f64) {
        self.local_excess_latency -= self.local_excess_latency * passed_ms / FORGET_MS;
        self.remote_excess_latency -= self.remote_excess_latency * passed_ms / FORGET_MS;
        let error = self.local_excess_latency
            - self.remote_excess_latency
            - cross_zone_price * EXCESS_LATENCY_PER_PRICE;
        self.integral = (self.integral + INTEGRAL_GAIN_PER_S * error * passed_ms / 1000.0).clamp(0.0, 1.0);
        self.fraction = (self.integral + PROPORTIONAL_GAIN * error).clamp(0.0, 1.0);
    }
}
