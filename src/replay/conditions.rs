//! Conditions of the backends: windows of time in which one was significantly slower, or failed significantly more
//! often, than over the whole record. The simulation repeats them as they were, whatever the table.

use super::AttemptOutcome;
use super::failure::FAILURES;
use super::recorded_traffic::RecordedTraffic;

/// Length (ms) of a window.
const WINDOW_MS: f64 = 2000.0;
/// Standard deviations by which a window must differ.
const CHANGE_Z_SCORE: f64 = 5.0;
/// Calls without which a window is not judged by itself.
const MIN_CALLS: f64 = 5.0;
/// Calls at the backend's overall failure rates that are added to a window's own.
const PRIOR_CALLS: f64 = 1.0;
/// Least variance of the residuals that is assumed.
const MIN_RESIDUAL_VARIANCE: f64 = 0.01;
/// Least mean residual that a window's is divided by.
const MIN_MEAN_RESIDUAL: f64 = 0.01;
/// Least relative latency of a window.
const MIN_RELATIVE_LATENCY: f64 = 0.05;

/// The condition of one backend in one window.
#[derive(Clone, Copy)]
pub(super) struct Condition {
    /// Latency relative to that over the whole record.
    pub(super) relative_latency: f64,
    /// Probability of a kind of failure or of one before it in [`FAILURES`], by kind.
    pub(super) cumulative_failure_rates: [f64; FAILURES.len()],
}

/// The conditions of all backends in all windows.
pub(super) struct Conditions {
    windows: usize,
    /// Conditions by backend, then by window.
    conditions: Vec<Condition>,
}

/// Sums over the recorded calls at a backend in one window, or in all of them.
#[derive(Clone, Copy, Default)]
struct Observations {
    calls: f64,
    answers: f64,
    sum_of_residuals: f64,
    sum_of_squares: f64,
    /// Number of failed calls by kind of failure, in the order of [`FAILURES`].
    failures: [f64; FAILURES.len()],
}

impl Observations {
    fn add(&mut self, other: &Observations) {
        self.calls += other.calls;
        self.answers += other.answers;
        self.sum_of_residuals += other.sum_of_residuals;
        self.sum_of_squares += other.sum_of_squares;
        for (failures, others) in self.failures.iter_mut().zip(other.failures) {
            *failures += others;
        }
    }

    fn failed(&self) -> f64 {
        self.failures.iter().sum()
    }
}

impl Conditions {
    /// The conditions in the records. `residual` is the part of a call's latency that class, backend and load do not
    /// explain, as a factor.
    pub(super) fn of(records: &RecordedTraffic, residual: impl Fn(usize) -> f64) -> Conditions {
        let windows = (records.length_ms / WINDOW_MS) as usize + 1;
        let observations = observations(records, windows, residual);
        let conditions = observations.chunks(windows).flat_map(conditions_of_backend).collect();
        Conditions { windows, conditions }
    }

    /// The condition of a backend at a time (ms) from the start of the records.
    pub(super) fn at(&self, backend: usize, at_ms: f64) -> &Condition {
        &self.conditions[backend * self.windows + window(at_ms, self.windows)]
    }
}

/// The window that a time (ms) falls into.
fn window(at_ms: f64, windows: usize) -> usize {
    ((at_ms / WINDOW_MS).max(0.0) as usize).min(windows - 1)
}

/// Observations in the records, by backend, then by window.
fn observations(
    records: &RecordedTraffic,
    windows: usize,
    residual: impl Fn(usize) -> f64,
) -> Vec<Observations> {
    let longest_answers_ms = longest_answers_ms(records);
    let mut observations = vec![Observations::default(); records.backends.len() * windows];
    for (index, call) in records.calls.iter().enumerate() {
        // A call that timed out sooner than others of its class were answered may just have taken long.
        if call.outcome == AttemptOutcome::Timeout
            && call.wait_ms < longest_answers_ms[usize::from(call.class)]
        {
            continue;
        }
        let index_of_window = call.backend as usize * windows + window(call.at_ms, windows);
        let observed = &mut observations[index_of_window];
        if let Some(failure) = FAILURES.iter().position(|failure| *failure == call.outcome) {
            observed.failures[failure] += 1.0;
            observed.calls += 1.0;
        } else if call.outcome == AttemptOutcome::Ok {
            let residual = residual(index);
            observed.answers += 1.0;
            observed.sum_of_residuals += residual;
            observed.sum_of_squares += residual * residual;
            observed.calls += 1.0;
        }
    }
    observations
}

/// The longest wait (ms) for an answer, by class.
fn longest_answers_ms(records: &RecordedTraffic) -> Vec<f64> {
    let mut longest = vec![0.0_f64; records.classes.len()];
    for call in records.calls.iter().filter(|call| call.outcome == AttemptOutcome::Ok) {
        let of_class = &mut longest[usize::from(call.class)];
        *of_class = of_class.max(call.wait_ms);
    }
    longest
}

/// The condition of one backend in each window. A window without calls, or with too few calls
/// of which some failed, has the condition of the one before.
fn conditions_of_backend(windows: &[Observations]) -> Vec<Condition> {
    let mut overall = Observations::default();
    windows.iter().for_each(|window| overall.add(window));
    let normal = Condition {
        relative_latency: 1.0,
        cumulative_failure_rates: cumulative_failure_rates(&overall, &overall),
    };
    let mut current = normal;
    let mut conditions = Vec::with_capacity(windows.len());
    for window in windows {
        if window.calls >= MIN_CALLS {
            current = condition_in_window(window, &overall, &normal);
        } else if window.calls > 0.0 && window.failed() == 0.0 {
            current = normal;
        }
        conditions.push(current);
    }
    conditions
}

/// The failure rates in a window, each with those before it, with [`PRIOR_CALLS`] at the overall rates added.
fn cumulative_failure_rates(window: &Observations, overall: &Observations) -> [f64; FAILURES.len()] {
    let mut rates = [0.0; FAILURES.len()];
    let mut sum = 0.0;
    for (failure, rate) in rates.iter_mut().enumerate() {
        let overall_rate = overall.failures[failure] / overall.calls.max(1.0);
        sum += (window.failures[failure] + PRIOR_CALLS * overall_rate) / (window.calls + PRIOR_CALLS);
        *rate = sum;
    }
    rates
}

/// The normal condition, changed where the window differs significantly.
fn condition_in_window(window: &Observations, overall: &Observations, normal: &Condition) -> Condition {
    let mut condition = *normal;
    let normal_rate = normal.cumulative_failure_rates[FAILURES.len() - 1];
    let expected_failures = window.calls * normal_rate;
    let standard_deviation = (window.calls * normal_rate * (1.0 - normal_rate) + 1.0).sqrt();
    if (window.failed() - expected_failures).abs() > CHANGE_Z_SCORE * standard_deviation {
        condition.cumulative_failure_rates = cumulative_failure_rates(window, overall);
    }
    if window.answers > 0.0 {
        let overall_mean = overall.sum_of_residuals / overall.answers.max(1.0);
        let overall_mean_square = overall.sum_of_squares / overall.answers.max(1.0);
        let variance = (overall_mean_square - overall_mean * overall_mean).max(MIN_RESIDUAL_VARIANCE);
        let window_mean = window.sum_of_residuals / window.answers;
        let difference = window_mean - overall_mean;
        if difference.abs() * window.answers.sqrt() > CHANGE_Z_SCORE * variance.sqrt() {
            let relative_latency = window_mean / overall_mean.max(MIN_MEAN_RESIDUAL);
            condition.relative_latency = relative_latency.max(MIN_RELATIVE_LATENCY);
        }
    }
    condition
}
