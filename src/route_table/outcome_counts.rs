//! Counts of requests and calls by outcome, and the statistical comparison of two groups of proxies by them.

use super::{Config, Report};
use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, Normal};
use std::collections::{BTreeMap, VecDeque};

/// Windows that [`RecentCounts`] keeps: a minute of the default reports.
const RECENT_WINDOWS: u64 = 12;

/// Counts of some proxies over some windows.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests of clients.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Calls to backends.
    pub calls: u64,
    /// Calls that ended with an error.
    pub errors: u64,
}

/// One kind of bad outcome: how many of how many.
struct Proportion {
    label: &'static str,
    bad: u64,
    total: u64,
}

impl OutcomeCounts {
    /// The counts of a report.
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

    /// Adds other counts. They saturate: reports come from outside and may be large.
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

    /// The first share that is significantly worse here (with the table) than in `reference` (without it), as
    /// text.
    ///
    /// One-sided two-proportion z test with the pooled variance: the difference must be above the critical z
    /// score at the significance level (`chance`) and above `margin`, so that huge counts do not make a
    /// negligible difference count. A share with fewer than `least_requests` on either side is not tested.
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
    /// Adds the counts of a report that arrived in the window of that number.
    pub fn add(&mut self, window: u64, counts: &OutcomeCounts) {
        match self.0.back_mut() {
            Some((last, sum)) if *last >= window => sum.add(counts),
            _ => self.0.push_back((window, *counts)),
        }
        while self.0.front().is_some_and(|(first, _)| first + RECENT_WINDOWS <= window) {
            self.0.pop_front();
        }
    }

    /// The sum over the windows.
    pub fn sum(&self) -> OutcomeCounts {
        self.0.iter().fold(OutcomeCounts::default(), |mut sum, (_, counts)| {
            sum.add(counts);
            sum
        })
    }
}
