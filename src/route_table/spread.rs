//! Whether a proxy's calls follow the weights: a G-test (Sokal and Rohlf, "Biometry") of the calls that its backends
//! got against their weights, zone by zone, since a proxy may prefer one zone to another.

use super::{Backends, Config, Report, Weights};
use statrs::distribution::{ChiSquared, ContinuousCDF};
use std::collections::BTreeMap;

/// Windows older than this say little of now.
const OLD_MS: u64 = 3_600_000;
/// Least expected calls of a cell, below which the distribution of G is not that of chi-squared.
const LEAST_EXPECTED: f64 = 5.0;

/// Calls of several windows with one table and one list.
#[derive(Clone, Debug, Default)]
pub(super) struct Spread {
    since_ms: u64,
    list_version: u64,
    windows: u32,
    calls: u64,
    /// By backend: calls, and in how many windows it could get its whole part.
    backends: BTreeMap<String, (u64, u32)>,
}

/// What was expected of a backend, and what it got.
struct Cell<'a> {
    name: &'a str,
    weight: f64,
    calls: f64,
}

impl Spread {
    /// How many counts it holds.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Adds a window.
    pub fn add(&mut self, now: u64, report: &Report) {
        let other_list = self.windows > 0 && self.list_version != report.list_version;
        if other_list || now.saturating_sub(self.since_ms) > OLD_MS || self.windows == 0 {
            *self = Spread { since_ms: now, list_version: report.list_version, ..Spread::default() };
        }
        // In the window in which its list changed, a backend could not have got its part.
        if other_list {
            return;
        }
        self.windows += 1;
        for (name, calls) in report.calls.iter().filter(|(name, _)| !report.left_out.contains_key(*name)) {
            if self.windows > 1 && !self.backends.contains_key(name) {
                continue;
            }
            let (sum, windows) = self.backends.entry(name.clone()).or_default();
            (*sum, *windows) = (sum.saturating_add(*calls), *windows + 1);
        }
        self.backends.retain(|_, (_, windows)| *windows == self.windows);
        self.calls = self.backends.values().fold(0, |sum, (calls, _)| sum.saturating_add(*calls));
    }

    /// Once there are calls enough: what is wrong, if anything; then it counts from 0 again.
    pub fn judge(&mut self, weights: &Weights, listed: &Backends, config: &Config) -> Option<Option<String>> {
        if self.calls < config.min_calls {
            return None;
        }
        let counted = std::mem::take(self);
        let mut zones: BTreeMap<&str, Vec<Cell>> = BTreeMap::new();
        for (name, (calls, _)) in &counted.backends {
            let Some(backend) = listed.get(name) else { continue };
            let weight = weights.of(name, &backend.class, &backend.zone) * backend.share;
            zones.entry(&backend.zone).or_default().push(Cell { name, weight, calls: *calls as f64 });
        }
        Some(wrong(zones.into_values(), config))
    }
}

/// The verdict on some zones' cells.
fn wrong<'a>(zones: impl Iterator<Item = Vec<Cell<'a>>>, config: &Config) -> Option<String> {
    let (mut g, mut freedom, mut worst) = (0.0, 0usize, (0.0, "", 0.0, 0.0));
    let mut all = 0.0;
    for mut cells in zones {
        let calls: f64 = cells.iter().map(|cell| cell.calls).sum();
        all += calls;
        if let Some(none) =
            cells.iter().find(|c| c.weight <= 0.0 && c.calls > LEAST_EXPECTED.max(0.01 * calls))
        {
            return Some(format!(
                "{} of {calls} calls went to {:?}, which has weight 0",
                none.calls, none.name
            ));
        }
        cells.retain(|cell| cell.weight > 0.0);
        let small = |cells: &[Cell]| {
            let (weight, calls) =
                cells.iter().fold((0.0, 0.0), |(w, c), cell| (w + cell.weight, c + cell.calls));
            let least = |cell: &Cell| cell.weight / weight * calls < LEAST_EXPECTED;
            cells.iter().position(least)
        };
        // What is too small to tell is left out; the others' parts are held against each other.
        while let Some(at) = small(&cells) {
            cells.remove(at);
        }
        let (weight, calls) = cells.iter().fold((0.0, 0.0), |(w, c), cell| (w + cell.weight, c + cell.calls));
        for cell in &cells {
            let expected = cell.weight / weight * calls;
            if cell.calls > 0.0 {
                g += 2.0 * cell.calls * (cell.calls / expected).ln();
            }
            let off = (cell.calls - expected).abs() / expected;
            if off > worst.0 {
                worst = (off, cell.name, cell.calls, expected);
            }
        }
        freedom += cells.len().saturating_sub(1);
    }
    let by_chance = ChiSquared::new(freedom as f64).ok().map(|d| d.sf((g / config.dispersion).max(0.0)))?;
    let wrong = by_chance < config.significance_level && worst.0 > config.min_effect_size;
    let (_, name, calls, expected) = worst;
    let odds = 1.0 / by_chance.max(1e-12);
    let what = || {
        format!(
            "{name:?} got {calls} of {all} calls, its weight says {expected:.0}; by chance in 1 of {odds:.0}"
        )
    };
    wrong.then(what)
}
