//! Whether enough proxies report for the detector to judge the fleet.

use super::super::Config;
use super::proxy_state::ProxyState;

/// How many proxies report, of how many that should.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportCoverage {
    /// Proxies with a report in the last two and a half windows.
    pub reporting: usize,
    /// Proxies that are alive, by membership or by their reports.
    pub alive: usize,
}

impl ReportCoverage {
    /// Coverage by the latest report of each proxy.
    ///
    /// Alive are as many as the median of the current reports says by its membership (a minority with a wrong
    /// view cannot move it), or as many as reported within `count_ms`, whichever is more: without membership
    /// a cut network must not shrink the fleet to those that still report.
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

    /// Whether no majority reports.
    ///
    /// Failure: the registry is cut off from half of the fleet or more. Every proxy on the other side would
    /// be raised as silent, and a rollout would be judged by the rest; so the detector raises `blind` and
    /// nothing else.
    pub fn is_blind(&self) -> bool {
        self.alive > 0 && 2 * self.reporting <= self.alive
    }
}
