//! The adaptive concurrency limit: the number of calls that this instance may have in flight to the tier.
//!
//! The limit is adjusted on the first tick after a window of at least ten outcomes is complete, from two
//! independent measures of load: the latencies of the answers, and the calls in flight over the rate of
//! answers (by Little's law the mean latency, which includes slow calls while they are still in flight). The
//! limit shrinks when both measures or the share of drops show overload. It grows when both measures show
//! slack and the limit was reached.

use super::class_latency::{ClassLatency, MAX_RELATIVE_LATENCY, MIN_WINDOW_OUTCOMES};
use crate::interface::Settings;

/// Smoothing factor of the mean latency over all classes.
const OVERALL_MEAN_SMOOTHING: f64 = 0.02;
/// Share of drops among outcomes above which the limit shrinks; below it, drops are isolated bad selections.
const MAX_DROP_SHARE: f64 = 0.05;
/// Smallest factor by which one window changes the limit; it is bounded since one window may be chance.
const MIN_STEP_FACTOR: f64 = 0.7;
/// Largest factor by which one window changes the limit; it is bounded since one window may be chance.
const MAX_STEP_FACTOR: f64 = 1.5;
/// Multiple of the baseline latency above which both load measures together show a queue at the backends.
const QUEUE_MIN_BASELINES: f64 = 2.0;
/// Share of the target latency up to which longer answers count as jitter rather than as a queue.
const QUEUE_MIN_TARGET_SHARE: f64 = 0.1;
/// Lower bound of the limit when a queue is detected: even at minimal traffic, this many calls coincide by
/// chance.
const QUEUE_MIN_LIMIT: f64 = 3.0;
/// Multiple of the calls needed for the best rate that the limit keeps when a queue is detected; the square
/// root of those calls is added.
const QUEUE_HEADROOM: f64 = 1.5;
/// Time constant (ms) with which a higher rate of answers is learned.
pub(super) const RATE_RISE_MS: f64 = 2000.0;
/// Time constant (ms) with which a lower rate of answers is learned.
pub(super) const RATE_FALL_MS: f64 = 60_000.0;
/// Multiple of the best rate above which a measured rate replaces it at once.
const RATE_JUMP_FACTOR: f64 = 2.0;
/// Lower bound of the load that determines how far the limit grows.
const MIN_LOAD: f64 = 0.01;
/// Ratio of calls in flight to the limit below which there is slack and baselines follow the mean quickly.
const SLACK_SHARE: f64 = 0.5;
/// Share of the difference to the mean by which a baseline moves in a window under slack.
const BASELINE_STEP_SLACK: f64 = 0.1;
/// Share of the difference to the mean by which a baseline moves in a window under load.
const BASELINE_STEP_LOADED: f64 = 0.01;

/// Measurements since the limit was last adjusted.
#[derive(Default)]
struct Window {
    elapsed_ms: f64,
    /// Number of answers, both successes and errors.
    answers: f64,
    /// Number of successful answers.
    served: f64,
    drops: f64,
    timeouts: f64,
    /// Integral of the calls in flight over time (calls × ms).
    in_flight_ms: f64,
    /// Integral of the calls in flight over time, each call divided by its class's target latency.
    in_flight_targets: f64,
    /// Sum of the answers' latencies, each divided by its class's target latency.
    latency_targets: f64,
    /// Sum of the answers' latencies (ms).
    latency_ms: f64,
    /// Sum of the baseline latencies (ms) of the answers' classes.
    baseline_ms: f64,
    /// Highest capacity of the tier in this window, in warm endpoints.
    max_capacity: f64,
    limit_reached: bool,
}

/// The learned concurrency limit and the measurements behind it.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Number of calls that may be in flight, over all classes.
    pub(super) limit: f64,
    pub(super) classes: Vec<ClassLatency>,
    /// Highest rate of answers (per ms) over about the last minute.
    pub(super) best_rate: f64,
    /// Rate of successful answers (per ms) of one warm endpoint, in the last window.
    pub(super) endpoint_rate: f64,
    /// Mean latency (ms) over all classes.
    pub(super) mean_ms: f64,
    window: Window,
}

impl ConcurrencyLimit {
    pub(super) fn new(settings: &Settings) -> Self {
        let of_class = |objective_ms| ClassLatency { objective_ms, ..ClassLatency::default() };
        let classes = settings.classes.iter().map(|class| of_class(class.latency_objective_ms)).collect();
        ConcurrencyLimit { classes, ..ConcurrencyLimit::default() }
    }

    /// Scales the limit and the best rate by a change in the tier's capacity.
    pub(super) fn scale(&mut self, factor: f64) {
        self.limit *= factor;
        self.best_rate *= factor;
    }

    /// Notes whether the limit was reached; slack lets the limit grow only in a window where it was.
    pub(super) fn note_reached(&mut self, reached: bool) {
        self.window.limit_reached |= reached;
    }

    pub(super) fn record_answer(&mut self) {
        self.window.answers += 1.0;
    }

    pub(super) fn record_drop(&mut self) {
        self.window.drops += 1.0;
    }

    pub(super) fn record_timeout(&mut self) {
        self.window.timeouts += 1.0;
    }

    /// Records the latency of a successful answer.
    pub(super) fn record_served(&mut self, class: usize, latency_ms: f64) {
        let class = &mut self.classes[class];
        class.record(latency_ms);
        self.window.served += 1.0;
        self.window.latency_targets += (latency_ms / class.target_ms()).min(MAX_RELATIVE_LATENCY);
        self.window.latency_ms += latency_ms.min(MAX_RELATIVE_LATENCY * class.target_ms());
        self.window.baseline_ms += class.baseline_ms;
    }

    /// Updates the mean latency over all classes.
    pub(super) fn record_mean(&mut self, latency_ms: f64) {
        let smoothing = if self.mean_ms == 0.0 { 1.0 } else { OVERALL_MEAN_SMOOTHING };
        self.mean_ms += (latency_ms - self.mean_ms) * smoothing;
    }

    /// Returns the mean latency of an answer (ms), including one assumed answer at the longest objective,
    /// because the first answers to arrive are the fast ones.
    pub(super) fn mean_answer_ms(&self) -> f64 {
        let longest_ms = self.classes.iter().map(|c| c.objective_ms).fold(1.0, f64::max);
        let total_ms = self.classes.iter().map(|c| c.mean_ms * c.samples).sum::<f64>() + longest_ms;
        (total_ms / (1.0 + self.classes.iter().map(|c| c.samples).sum::<f64>())).max(1.0)
    }

    /// Accounts for the time since the last tick, and adjusts the limit if the window is complete.
    pub(super) fn update(&mut self, passed_ms: f64, capacity: f64) {
        let window = &mut self.window;
        window.elapsed_ms += passed_ms;
        window.max_capacity = window.max_capacity.max(capacity);
        window.in_flight_ms += passed_ms * self.classes.iter().map(|c| c.in_flight).sum::<f64>();
        window.in_flight_targets +=
            passed_ms * self.classes.iter().map(|c| c.in_flight / c.target_ms()).sum::<f64>();
        let outcomes = window.answers + window.drops + window.timeouts;
        if outcomes < MIN_WINDOW_OUTCOMES || window.elapsed_ms < self.mean_ms {
            return;
        }
        self.learn_rates();
        self.adjust();
        self.move_baselines();
        self.window = Window { max_capacity: capacity, ..Window::default() };
    }

    /// Learns the rates of answers from a complete window.
    fn learn_rates(&mut self) {
        let window = &self.window;
        let rate = window.answers / window.elapsed_ms;
        // Divided by the highest capacity of the window: endpoints that were warm then may be cold now.
        self.endpoint_rate = window.served / window.elapsed_ms / window.max_capacity.max(1.0);
        let time_constant_ms = if rate < self.best_rate { RATE_FALL_MS } else { RATE_RISE_MS };
        let smoothing = (window.elapsed_ms / time_constant_ms).min(1.0);
        self.best_rate = if rate > RATE_JUMP_FACTOR * self.best_rate {
            rate
        } else {
            self.best_rate + (rate - self.best_rate) * smoothing
        };
    }

    /// Shrinks or grows the limit by the measurements of a complete window.
    ///
    /// Guards against overload: beyond its capacity the tier queues, then drops, and serves less than below
    /// it. Inputs: load by calls in flight and by latencies (each 1 at the target), and the share of drops.
    /// Shrinking needs both measures: silent backends raise the calls in flight without slowing any answer,
    /// while a queue does both. Growing needs both as well, because the first answers to arrive are the fast
    /// ones. A window with few answers moves the limit little.
    fn adjust(&mut self) {
        let window = &self.window;
        let answers = window.answers.max(1.0);
        let in_flight_load = window.in_flight_targets / answers;
        let latency_load = window.latency_targets / answers;
        let confident_load = in_flight_load.min(latency_load) * (1.0 - 1.0 / answers.sqrt());
        let factor = self.drop_factor(latency_load).min(1.0 / confident_load.max(1.0).sqrt());
        // Calls in flight beyond the best rate at the baseline latency wait in the backends' queues. The
        // square root of their number is allowed on top, because a few calls coincide by chance.
        let min_latency_sum_ms = window.in_flight_ms.min(window.latency_ms);
        let queued = latency_load > QUEUE_MIN_TARGET_SHARE
            && min_latency_sum_ms > QUEUE_MIN_BASELINES * window.baseline_ms;
        if queued {
            let needed = self.best_rate * window.baseline_ms / answers;
            self.limit = self.limit.min(QUEUE_HEADROOM * needed + needed.sqrt()).max(QUEUE_MIN_LIMIT);
        }
        let max_load = in_flight_load.max(latency_load);
        if factor < 1.0 {
            self.limit = (self.limit * factor.max(MIN_STEP_FACTOR)).max(1.0);
        } else if !queued && window.limit_reached && max_load < 1.0 {
            self.limit *= (1.0 / max_load.max(MIN_LOAD).sqrt()).min(MAX_STEP_FACTOR);
        }
    }

    /// Returns the factor by which drops shrink the limit. Timeouts count only while answers are slow too:
    /// otherwise calls lost on the network would shrink the limit to its minimum.
    fn drop_factor(&self, latency_load: f64) -> f64 {
        let window = &self.window;
        let slow = latency_load > 1.0 || window.answers == 0.0;
        let drops = window.drops + if slow { window.timeouts } else { 0.0 };
        let share = drops / (window.answers.max(1.0) + drops) * (1.0 - 1.0 / drops.max(1.0).sqrt());
        if share > MAX_DROP_SHARE { 1.0 - share / 2.0 } else { 1.0 }
    }

    /// Moves each baseline towards its class's mean: quickly while there is slack, slowly under load.
    fn move_baselines(&mut self) {
        let in_flight: f64 = self.classes.iter().map(|c| c.in_flight).sum();
        let slack = in_flight < SLACK_SHARE * self.limit;
        let step = if slack { BASELINE_STEP_SLACK } else { BASELINE_STEP_LOADED };
        self.classes.iter_mut().for_each(|c| c.baseline_ms += (c.mean_ms - c.baseline_ms) * step);
    }
}
