//! Test whether a proxy's calls follow the weights of its table: a G-test of goodness of fit (Sokal and
//! Rohlf, "Biometry") of the backends' calls against their weights. Zones are tested separately, since a
//! proxy may prefer one zone to another.

use super::super::backend_list::BackendList;
use super::super::{Config, Report, Weights};
use statrs::distribution::{ChiSquared, ContinuousCDF};
use std::collections::BTreeMap;

/// Maximum age of a test's windows, in milliseconds: a proxy with few calls would otherwise be tested by
/// outdated calls.
const MAX_TEST_AGE_MS: u64 = 3_600_000;
/// Minimum number of expected calls of a backend in the test; with fewer, G does not follow the chi-squared
/// distribution.
const MIN_EXPECTED_CALLS: f64 = 5.0;
/// Maximum share of a zone's calls that each backend of weight 0 may receive, as during a change of table.
const MAX_ZERO_WEIGHT_SHARE: f64 = 0.01;
/// Lower bound of the probability that the evidence quotes.
const MIN_QUOTED_PROBABILITY: f64 = 1e-12;

/// The calls of several windows with one table and one list of backends.
#[derive(Clone, Debug, Default)]
pub(super) struct WeightTest {
    since_ms: u64,
    list_version: u64,
    windows: u32,
    calls: u64,
    backends: BTreeMap<String, BackendWindows>,
}

/// The calls of one backend in the windows of a test.
#[derive(Clone, Copy, Debug, Default)]
struct BackendWindows {
    calls: u64,
    /// Number of windows in which the backend could receive its full share.
    windows: u32,
}

/// The result of a weight test.
pub(super) struct WeightTestResult {
    /// Description of how the calls deviate from the weights, if they do.
    pub mismatch: Option<String>,
}

/// The weight and the calls of one backend.
struct BackendCalls<'a> {
    name: &'a str,
    weight: f64,
    calls: f64,
}

/// The backend with the largest relative deviation of its calls from the expected number.
#[derive(Default)]
struct LargestDeviation<'a> {
    /// Absolute difference divided by the expected number.
    relative: f64,
    name: &'a str,
    calls: f64,
    expected: f64,
}

/// The G statistic and its degrees of freedom, summed over zones.
#[derive(Default)]
struct GStatistic<'a> {
    g: f64,
    degrees_of_freedom: usize,
    total_calls: f64,
    largest: LargestDeviation<'a>,
}

impl WeightTest {
    /// Number of backends with counts in this test.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Adds the calls of a window.
    ///
    /// Only backends that could receive their full share in every window of the test are kept: one that was
    /// ejected, warming up or outside of the subset received fewer calls for a valid reason. The test
    /// restarts when the list changes; the window of the change is left out.
    pub fn add_window(&mut self, now_ms: u64, report: &Report) {
        let list_changed = self.windows > 0 && self.list_version != report.list_version;
        let too_old = now_ms.saturating_sub(self.since_ms) > MAX_TEST_AGE_MS;
        if list_changed || too_old || self.windows == 0 {
            *self =
                WeightTest { since_ms: now_ms, list_version: report.list_version, ..WeightTest::default() };
        }
        if list_changed {
            return;
        }
        self.windows += 1;
        for (name, calls) in &report.calls {
            let joined_late = self.windows > 1 && !self.backends.contains_key(name);
            if report.left_out.contains_key(name) || joined_late {
                continue;
            }
            let backend = self.backends.entry(name.clone()).or_default();
            backend.calls = backend.calls.saturating_add(*calls);
            backend.windows += 1;
        }
        self.backends.retain(|_, backend| backend.windows == self.windows);
        self.calls = self.backends.values().fold(0, |sum, backend| sum.saturating_add(backend.calls));
    }

    /// Returns the result of the test once it has [`Config::min_calls`], and begins a new test.
    pub fn take_result(
        &mut self,
        weights: &Weights,
        backends: &BackendList,
        config: &Config,
    ) -> Option<WeightTestResult> {
        if self.calls < config.min_calls {
            return None;
        }
        let test = std::mem::take(self);
        let mut zones: BTreeMap<&str, Vec<BackendCalls>> = BTreeMap::new();
        for (name, BackendWindows { calls, .. }) in &test.backends {
            let Some(backend) = backends.get(name) else { continue };
            let weight = weights.of(name, &backend.class, &backend.zone) * backend.share;
            let calls = *calls as f64;
            zones.entry(&backend.zone).or_default().push(BackendCalls { name, weight, calls });
        }
        Some(WeightTestResult { mismatch: find_mismatch(zones.into_values(), config) })
    }
}

/// Tests the calls of all zones, and describes a mismatch by the backend that deviates most.
///
/// A mismatch has two conditions. G, divided by [`Config::dispersion`], is improbable at the
/// [`Config::significance_level`]; the division is needed because a healthy proxy avoids slow backends and
/// takes turns, so that its variance is not that of independent choice. And one backend deviates by more than
/// [`Config::min_effect_size`] of its expected calls, so that very many calls do not make a negligible
/// difference significant.
fn find_mismatch<'a>(zones: impl Iterator<Item = Vec<BackendCalls<'a>>>, config: &Config) -> Option<String> {
    let mut statistic = GStatistic::default();
    for backends in zones {
        let zone_calls: f64 = backends.iter().map(|backend| backend.calls).sum();
        statistic.total_calls += zone_calls;
        if let Some(mismatch) = calls_at_zero_weight(&backends, zone_calls) {
            return Some(mismatch);
        }
        statistic.add_zone(testable(backends));
    }
    let chi_squared = ChiSquared::new(statistic.degrees_of_freedom as f64).ok()?;
    let p_value = chi_squared.sf((statistic.g / config.dispersion).max(0.0));
    let LargestDeviation { relative, name, calls, expected } = statistic.largest;
    let significant = p_value < config.significance_level && relative > config.min_effect_size;
    if !significant {
        return None;
    }
    let odds = 1.0 / p_value.max(MIN_QUOTED_PROBABILITY);
    Some(format!(
        "{name:?} got {calls} of {} calls, its weight says {expected:.0}; by chance in 1 of {odds:.0}",
        statistic.total_calls
    ))
}

/// Describes a backend of weight 0 with more than the tolerated calls, which is a mismatch without a test.
fn calls_at_zero_weight(backends: &[BackendCalls], zone_calls: f64) -> Option<String> {
    let tolerated = MIN_EXPECTED_CALLS.max(MAX_ZERO_WEIGHT_SHARE * zone_calls);
    let wrong = backends.iter().find(|backend| backend.weight <= 0.0 && backend.calls > tolerated)?;
    Some(format!("{} of {zone_calls} calls went to {:?}, which has weight 0", wrong.calls, wrong.name))
}

/// Keeps the backends of a zone with a weight above 0 and enough expected calls. Each removal changes the
/// expected calls of the others, so they are checked again.
fn testable(mut backends: Vec<BackendCalls>) -> Vec<BackendCalls> {
    backends.retain(|backend| backend.weight > 0.0);
    loop {
        let (weight, calls) = sums(&backends);
        let too_few = |backend: &BackendCalls| backend.weight / weight * calls < MIN_EXPECTED_CALLS;
        match backends.iter().position(too_few) {
            Some(index) => drop(backends.remove(index)),
            None => return backends,
        }
    }
}

/// Sums the weights and the calls of backends.
fn sums(backends: &[BackendCalls]) -> (f64, f64) {
    backends
        .iter()
        .fold((0.0, 0.0), |(weight, calls), backend| (weight + backend.weight, calls + backend.calls))
}

impl<'a> GStatistic<'a> {
    /// Adds the G statistic of a zone: `2 * sum(observed * ln(observed / expected))`.
    fn add_zone(&mut self, backends: Vec<BackendCalls<'a>>) {
        let (weight, calls) = sums(&backends);
        self.degrees_of_freedom += backends.len().saturating_sub(1);
        for backend in backends {
            let expected = backend.weight / weight * calls;
            if backend.calls > 0.0 {
                self.g += 2.0 * backend.calls * (backend.calls / expected).ln();
            }
            let relative = (backend.calls - expected).abs() / expected;
            if relative > self.largest.relative {
                let BackendCalls { name, calls, .. } = backend;
                self.largest = LargestDeviation { relative, name, calls, expected };
            }
        }
    }
}
