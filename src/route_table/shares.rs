//! Shares of requests refused or failed and of calls with errors, and whether one side's are worse than the other's.

use super::{Config, Report};
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, Normal};
use std::collections::VecDeque;

/// Counts of some proxies over some windows.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests taken.
    pub requests: u64,
    /// Of them refused.
    pub refused: u64,
    /// Of them failed.
    pub failed: u64,
    /// Calls to backends.
    pub calls: u64,
    /// Of them with an error.
    pub errors: u64,
}

impl OutcomeCounts {
    /// Those of a report.
    pub fn of(report: &Report) -> OutcomeCounts {
        let sum = |map: &std::collections::BTreeMap<String, u64>| {
            map.values().fold(0u64, |a, b| a.saturating_add(*b))
        };
        let (calls, errors) = (sum(&report.calls), sum(&report.errors));
        OutcomeCounts {
            requests: report.requests,
            refused: report.refused,
            failed: report.failed,
            calls,
            errors,
        }
    }

    /// Adds another's counts.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.requests = self.requests.saturating_add(other.requests);
        self.refused = self.refused.saturating_add(other.refused);
        self.failed = self.failed.saturating_add(other.failed);
        self.calls = self.calls.saturating_add(other.calls);
        self.errors = self.errors.saturating_add(other.errors);
    }

    /// Which share is worse here than there, by more than the margin and more than chance: a one-sided two-proportion
    /// test with the pooled variance.
    pub(super) fn worse(&self, than: &OutcomeCounts, config: &Config) -> Option<String> {
        let of = |s: &OutcomeCounts| {
            [
                ("refused", s.refused, s.requests),
                ("failed", s.failed, s.requests),
                ("errors of calls", s.errors, s.calls),
            ]
        };
        let bound = Normal::standard().inverse_cdf(1.0 - config.significance_level);
        of(self).into_iter().zip(of(than)).find_map(|((what, bad, all), (_, their_bad, their_all))| {
            if all.min(their_all) < config.min_requests {
                return None;
            }
            let (n, m) = (all as f64, their_all as f64);
            let (here, there) = (bad as f64 / n, their_bad as f64 / m);
            let pooled = (bad as f64 + their_bad as f64) / (n + m);
            let deviation = (pooled * (1.0 - pooled).max(0.0) * (1.0 / n + 1.0 / m)).sqrt();
            let worse = here - there > config.min_share_difference && here - there > bound * deviation;
            worse.then(|| {
                format!("{what}: {here:.4} of {all} with the table, {there:.4} of {their_all} without")
            })
        })
    }
}

/// Counts of the last windows.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent(VecDeque<(u64, OutcomeCounts)>);

/// Windows that [`Recent`] keeps.
const RECENT: u64 = 12;

impl Recent {
    /// Counts a report that came in that window.
    pub fn count(&mut self, window: u64, shares: &OutcomeCounts) {
        match self.0.back_mut() {
            Some((last, sum)) if *last >= window => sum.add(shares),
            _ => self.0.push_back((window, *shares)),
        }
        while self.0.front().is_some_and(|(first, _)| first + RECENT <= window) {
            self.0.pop_front();
        }
    }

    /// All of them together.
    pub fn sum(&self) -> OutcomeCounts {
        self.0.iter().fold(OutcomeCounts::default(), |mut sum, (_, shares)| {
            sum.add(shares);
            sum
        })
    }
}
