//! The drift detector: finds the proxies that deviate from the route table.
//!
//! [`Drift`] owns one [`ProxyState`] for each proxy that reports or that a peer reports, the estimate of lost
//! reports, and the raised findings. All of it is kept in memory and rebuilt from reports after a restart of
//! the registry. [`Drift::receive`] counts good and bad windows of a proxy on each report.
//! [`Drift::evaluate`] runs three times a window; it looks for silent proxies, groups all deviations and
//! raises or clears findings.
//!
//! A proxy is reported as lost after `silence_threshold_ms` without a report (`missed_ms` of the page: a
//! number of windows that lost reports do not explain): as `silent` if its peers consider it alive, else as
//! `gone`. Nothing is raised in the grace time (after a start of the registry, a pause of its own, or
//! blindness); while the detector is blind it raises only `blind`.

mod checks;
mod coverage;
mod deviation;
mod evaluation;
mod finding;
mod grouping;
mod proxy_state;
mod receipt;
mod report_loss;
mod report_order;
mod views;
mod weight_test;

pub use finding::{Finding, FindingKind};
pub(super) use report_order::ReportOutcome;

use super::Revision;
use coverage::ReportCoverage;
use grouping::RaisedFindings;
use proxy_state::ProxyState;
use report_loss::ReportLoss;
use std::collections::HashMap;

/// The drift detector of one tier.
pub(super) struct Drift {
    proxies: HashMap<String, ProxyState>,
    /// Number of backend counts in all weight tests, bounded by `Config::max_backend_counts`.
    backend_counts: usize,
    /// Start of the period in which the registry has received reports without a pause of its own.
    listening_since_ms: u64,
    /// End of the grace time, in which nothing is raised; `None` before the first evaluation.
    grace_until_ms: Option<u64>,
    next_evaluation_ms: u64,
    report_loss: ReportLoss,
    raised: RaisedFindings,
    coverage: ReportCoverage,
    highest_revision: Revision,
    /// Number of reporting proxies with `ahead`, raised or about to be.
    ahead: usize,
}

impl Drift {
    /// Creates a detector that knows no proxy and is in the grace time.
    pub fn new(now_ms: u64) -> Self {
        Drift {
            proxies: HashMap::new(),
            backend_counts: 0,
            listening_since_ms: now_ms,
            grace_until_ms: None,
            next_evaluation_ms: now_ms,
            report_loss: ReportLoss::default(),
            raised: RaisedFindings::default(),
            coverage: ReportCoverage::default(),
            highest_revision: 0,
            ahead: 0,
        }
    }

    /// The highest revision that any proxy has reported.
    pub fn highest_revision(&self) -> Revision {
        self.highest_revision
    }

    /// Number of proxies with a revision that was never issued or was rolled back, if they are at least a
    /// tenth of those that report: then this registry has lost state. Fewer may be faulty themselves and
    /// count as 0.
    pub fn proxies_ahead(&self) -> usize {
        if self.ahead * 10 >= self.coverage.reporting { self.ahead } else { 0 }
    }

    /// Restarts the grace time of the proxies whose target table has just changed.
    pub fn restart_grace(&mut self, now_ms: u64, target_changed: impl Fn(&str) -> bool) {
        for (name, proxy) in &mut self.proxies {
            if target_changed(name) {
                proxy.target_since_ms = now_ms;
            }
        }
    }

    /// Handles a pause of the registry itself, in which it received nothing: silence of the proxies counts
    /// from `now_ms`, and a new grace time begins.
    pub fn registry_paused(&mut self, now_ms: u64) {
        self.listening_since_ms = now_ms;
        self.grace_until_ms = None;
        for proxy in self.proxies.values_mut() {
            proxy.target_since_ms = now_ms;
        }
    }
}
