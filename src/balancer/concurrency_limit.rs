//! The concurrency limit: how many calls this instance may have in flight to the tier.
//!
//! It is learned in windows of at least ten outcomes, on the first tick after a window is complete, from two
//! independent measures of load: the latencies of the answers, and the calls in flight over the rate of
//! answers (by Little's law the mean latency, which counts slow calls while they are still in flight). The
//! limit shrinks when both measures or a share of drops show overload, and grows when both show slack and it
//! was reached.

use super::class_latency::{ClassLatency, MAX_RELATIVE_LATENCY};
use crate::interface::Settings;

/// Smoothing factor of the mean latency over all classes.
const OVERALL_MEAN_SMOOTHING: f64 = 0.02;
/// Share of drops among outcomes above which the limit shrinks: fewer are single bad selections.
const MAX_DROP_SHARE: f64 = 0.05;
/// Fewest outcomes in a window.
pub(super) const MIN_WINDOW_OUTCOMES: f64 = 10.0;
/// Smallest factor by which one window, which may be chance, changes the limit.
const MIN_STEP_FACTOR: f64 = 0.7;
/// Largest factor by which one window, which may be chance, changes the limit.
const MAX_STEP_FACTOR: f64 = 1.5;
/// Multiple of the baseline latency at which both measures together show a queue at the backends.
const QUEUE_MIN_BASELINES: f64 = 2.0;
/// Share of the target latency up to which longer answers are jitter and not a queue.
const QUEUE_MIN_TARGET_SHARE: f64 = 0.1;
/// Lowest limit that a queue leaves: so many calls coincide by chance at the thinnest traffic.
const QUEUE_MIN_LIMIT: f64 = 3.0;
/// Multiple of the calls needed for the best rate that a queue leaves, besides their square root.
const QUEUE_HEADROOM: f64 = 1.5;
/// Time constant (ms) with which a higher rate of answers is learned.
pub(super) const RATE_RISE_MS: f64 = 2000.0;
/// Time constant (ms) with which a lower rate of answers is learned.
pub(super) const RATE_FALL_MS: f64 = 60_000.0;
/// Multiple of the best rate from which a rate is taken over at once.
const RATE_JUMP_FACTOR: f64 = 2.0;
/// Lowest load that the limit grows by.
const MIN_LOAD: f64 = 0.01;
/// Share of the limit in flight below which there is slack, and baselines follow the mean quickly.
const SLACK_SHARE: f64 = 0.5;
/// Share of the difference to the mean by which a baseline moves in a window under slack.
const BASELINE_STEP_SLACK: f64 = 0.1;
/// Share of the difference to the mean by which a baseline moves in a window under load.
const BASELINE_STEP_LOADED: f64 = 0.01;

/// What was measured since the limit was last adjusted.
#[derive(Default)]
struct Window {
    elapsed_ms: f64,
    /// Answers, successful or errors.
    answers: f64,
    /// Successful answers.
    served: f64,
    drops: f64,
    timeouts: f64,
    /// Integral of the calls in flight over time.
    in_flight_ms: f64,
    /// The same, each call over its class's target latency.
    in_flight_targets: f64,
    /// Sum of the answers' latencies, each over its class's target.
    latency_targets: f64,
    /// Sum of the answers' latencies.
    latency_ms: f64,
    /// Sum of the baselines of the answers' classes.
    baseline_ms: f64,
    /// Highest capacity of the tier, in warm endpoints.
    max_capacity: f64,
    limit_reached: bool,
}

/// The learned limit and what it is learned from.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Calls that may be in flight, over all classes.
    pub(super) limit: f64,
    pub(super) classes: Vec<ClassLatency>,
    /// Best rate of answers (per ms) in about the last minute.
    pub(super) best_rate: f64,
    /// Rate of successful answers (per ms) of one warm endpoint, in the last window.
    pub(super) endpoint_rate: f64,
    /// Mean latency over all classes.
    pub(super) mean_ms: f64,
    window: Window,
}

impl ConcurrencyLimit {
    pub(super) fn new(settings: &Settings) -> Self {
        let of_class = |objective_ms| ClassLatency { objective_ms, ..ClassLatency::default() };
        let classes = settings.classes.iter().map(|class| of_class(class.latency_objective_ms)).collect();
        ConcurrencyLimit { classes, ..ConcurrencyLimit::default() }
    }

    /// Scales the limit with the capacity of the tier.
    pub(super) fn scale(&mut self, factor: f64) {
        self.limit *= factor;
        self.best_rate *= factor;
    }

    /// Notes that the limit was reached: only then does slack let it grow.
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

    /// Moves the mean latency over all classes.
    pub(super) fn record_mean(&mut self, latency_ms: f64) {
        let smoothing = if self.mean_ms == 0.0 { 1.0 } else { OVERALL_MEAN_SMOOTHING };
        self.mean_ms += (latency_ms - self.mean_ms) * smoothing;
    }

    /// Mean time of an answer (ms), with one more counted at the longest objective: the first are the quick
    /// ones.
    pub(super) fn mean_answer_ms(&self) -> f64 {
        let longest_ms = self.classes.iter().map(|c| c.objective_ms).fold(1.0, f64::max);
        let total_ms = self.classes.iter().map(|c| c.mean_ms * c.samples).sum::<f64>() + longest_ms;
        (total_ms / (1.0 + self.classes.iter().map(|c| c.samples).sum::<f64>())).max(1.0)
    }

    /// Accounts for the time since the last tick and adjusts the limit if the window is complete.
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
        let learn_ms = if rate < self.best_rate { RATE_FALL_MS } else { RATE_RISE_MS };
        let smoothing = (window.elapsed_ms / learn_ms).min(1.0);
        self.best_rate = if rate > RATE_JUMP_FACTOR * self.best_rate {
            rate
        } else {
            self.best_rate + (rate - self.best_rate) * smoothing
        };
    }

    /// Shrinks or grows the limit by what a complete window shows.
    ///
    /// Failure: past its capacity the tier queues, then drops, and serves less than below it. Inputs: load by
    /// calls in flight and by latencies (each 1 at the target), the share of drops. Shrinking needs both
    /// measures: silent backends swell the calls in flight but slow no answer, a queue does both. Growing
    /// needs both as well: the first answers are the quick ones. Few answers move the limit little.
    fn adjust(&mut self) {
        let window = &self.window;
        let answers = window.answers.max(1.0);
        let in_flight_load = window.in_flight_targets / answers;
        let latency_load = window.latency_targets / answers;
        let sure_load = in_flight_load.min(latency_load) * (1.0 - 1.0 / answers.sqrt());
        let factor = self.drop_factor(latency_load).min(1.0 / sure_load.max(1.0).sqrt());
        // Calls in flight beyond the best rate at the baseline latency wait in the backends' queues. Few
        // calls coincide by chance: the square root of their number is spared.
        let shorter_ms = window.in_flight_ms.min(window.latency_ms);
        let queued =
            latency_load > QUEUE_MIN_TARGET_SHARE && shorter_ms > QUEUE_MIN_BASELINES * window.baseline_ms;
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

    /// Factor by which drops shrink the limit. Timeouts count only while answers are slow too: calls that are
    /// lost on the way would otherwise shrink the limit to nothing.
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
