//! Counts of requests and calls by outcome, and the statistical comparison of two groups of proxies by them.

use super::{Config, Report};
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, Normal};
use std::collections::{BTreeMap, VecDeque};

/// Number of windows that [`RecentCounts`] keeps: a minute at the default report interval.
const RECENT_WINDOWS: u64 = 12;

/// Counts of requests and calls by outcome, of one or more proxies over one or more windows.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Number of requests of clients.
    pub requests: u64,
    /// Number of requests that were refused.
    pub refused: u64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Number of calls to backends.
    pub calls: u64,
    /// Number of calls that ended with an error.
    pub errors: u64,
}

/// The proportion of one kind of bad outcome.
struct Proportion {
    label: &'static str,
    bad: u64,
    total: u64,
}

impl OutcomeCounts {
    /// Sums the counts of a report over its backends.
    pub fn of_report(report: &Report) -> OutcomeCounts {
        let sum = |by_backend: &BTreeMap<String, u64>| {
            by_backend.values().fold(0u64, |sum, count| sum.saturating_add(*count))
        };
        OutcomeCounts {
            requests: report.requests,
            refused: report.refused,
            failed: report.failed,
            calls: sum(&report.calls),
            errors: sum(&report.errors),
        }
    }

    /// Adds other counts with saturating arithmetic, since reports come from outside and may be large.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.requests = self.requests.saturating_add(other.requests);
        self.refused = self.refused.saturating_add(other.refused);
        self.failed = self.failed.saturating_add(other.failed);
        self.calls = self.calls.saturating_add(other.calls);
        self.errors = self.errors.saturating_add(other.errors);
    }

    fn proportions(&self) -> [Proportion; 3] {
        [
            Proportion { label: "refused", bad: self.refused, total: self.requests },
            Proportion { label: "failed", bad: self.failed, total: self.requests },
            Proportion { label: "errors of calls", bad: self.errors, total: self.calls },
        ]
    }

    /// Describes the first share that is significantly worse in these counts (with the table) than in
    /// `reference` (without the table), if there is one.
    ///
    /// This is a one-sided two-proportion z-test with pooled variance. The difference must exceed the
    /// critical value at [`Config::significance_level`] and also [`Config::min_share_difference`], so that
    /// huge counts do not make a negligible difference significant. A share with fewer than
    /// [`Config::min_requests`] on either side is not tested.
    pub(super) fn significantly_worse_than(
        &self,
        reference: &OutcomeCounts,
        config: &Config,
    ) -> Option<String> {
        let critical_z = Normal::standard().inverse_cdf(1.0 - config.significance_level);
        let pairs = self.proportions().into_iter().zip(reference.proportions());
        pairs.into_iter().find_map(|(tested, reference)| {
            if tested.total.min(reference.total) < config.min_requests {
                return None;
            }
            let n = tested.total as f64;
            let m = reference.total as f64;
            let tested_share = tested.bad as f64 / n;
            let reference_share = reference.bad as f64 / m;
            let difference = tested_share - reference_share;
            let pooled = (tested.bad as f64 + reference.bad as f64) / (n + m);
            let standard_error = (pooled * (1.0 - pooled).max(0.0) * (1.0 / n + 1.0 / m)).sqrt();
            let worse = difference > config.min_share_difference && difference > critical_z * standard_error;
            worse.then(|| {
                format!(
                    "{}: {tested_share:.4} of {} with the table, {reference_share:.4} of {} without",
                    tested.label, tested.total, reference.total
                )
            })
        })
    }
}

/// Counts of the last [`RECENT_WINDOWS`] windows of one proxy.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentCounts(VecDeque<(u64, OutcomeCounts)>);

impl RecentCounts {
    /// Adds the counts of a report that arrived in the window with this number, and drops windows that are
    /// too old.
    pub fn add(&mut self, window: u64, counts: &OutcomeCounts) {
        match self.0.back_mut() {
            Some((last, sum)) if *last >= window => sum.add(counts),
            _ => self.0.push_back((window, *counts)),
        }
        while self.0.front().is_some_and(|(first, _)| first + RECENT_WINDOWS <= window) {
            self.0.pop_front();
        }
    }

    /// Sums the counts over the kept windows.
    pub fn sum(&self) -> OutcomeCounts {
        self.0.iter().fold(OutcomeCounts::default(), |mut sum, (_, counts)| {
            sum.add(counts);
            sum
        })
    }
}
