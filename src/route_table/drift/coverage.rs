//! The coverage of reports: whether enough proxies report for the detector to evaluate the fleet.

use super::super::Config;
use super::proxy_state::ProxyState;

/// The number of proxies that report, and of those that should.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportCoverage {
    /// Number of proxies with a report in the last two and a half windows.
    pub reporting: usize,
    /// Number of live proxies, by membership or by their reports.
    pub alive: usize,
}

impl ReportCoverage {
    /// Computes the coverage from the latest report of each proxy.
    ///
    /// The number of live proxies is the median of the numbers that the current reports give by membership,
    /// or the number of proxies that reported within [`Config::count_silent_ms`], whichever is greater. A
    /// minority with a wrong view cannot move the median. Without membership, a network partition must not
    /// shrink the fleet to the proxies that still report.
    pub fn of<'a>(
        now_ms: u64,
        listening_since_ms: u64,
        proxies: impl Iterator<Item = &'a ProxyState>,
        config: &Config,
    ) -> ReportCoverage {
        let mut alive_by_membership = Vec::new();
        let mut reported_recently = 0;
        for latest in proxies.filter_map(|proxy| proxy.latest.as_ref()) {
            let age_ms = now_ms.saturating_sub(latest.received_ms.max(listening_since_ms));
            let recent = now_ms.saturating_sub(latest.received_ms) <= config.count_silent_ms;
            reported_recently += usize::from(recent);
            if age_ms <= 5 * config.report_ms / 2 {
                alive_by_membership.push(latest.alive);
            }
        }
        let reporting = alive_by_membership.len();
        alive_by_membership.sort_unstable();
        let median = alive_by_membership.get(reporting / 2).copied().unwrap_or(0) as usize;
        ReportCoverage { reporting, alive: reported_recently.max(median).max(reporting) }
    }

    /// Whether no majority of the live proxies reports.
    ///
    /// Failure: the registry is cut off from half of the fleet or more. Every proxy on the other side would
    /// be raised as silent, and a rollout would be reviewed by the rest alone; so the detector raises `blind`
    /// and nothing else.
    pub fn is_blind(&self) -> bool {
        self.alive > 0 && 2 * self.reporting <= self.alive
    }
}
