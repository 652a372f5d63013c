//! The detector's views for other modules: the fleet for a rollout's review, recent counts, and the
//! operators' page.

use super::super::rollout::{FleetView, LiveProxy};
use super::super::{Config, DriftPage, FindingKind, OutcomeCounts, Table};
use super::Drift;
use std::collections::BTreeMap;

impl Drift {
    /// The fleet as the rollout of `table` sees it. Drift from before the rollout began is not caused by it
    /// and does not count.
    pub fn fleet_view(
        &self,
        now_ms: u64,
        rollout_began_ms: u64,
        table: &Table,
        config: &Config,
    ) -> FleetView<'_> {
        let silence_threshold_ms = self.report_loss.silence_threshold_ms(config);
        let live = self.proxies.iter().filter_map(|(name, proxy)| {
            let reports = proxy.reported_within(now_ms, silence_threshold_ms);
            let latest = proxy.latest.as_ref().filter(|_| reports)?;
            let has_table = latest.revision == table.revision && latest.digest == table.digest;
            let drifting = [FindingKind::Diverged, FindingKind::Effect].into_iter().any(|kind| {
                let streak = &proxy.deviations[kind as usize];
                streak.active && streak.since_ms >= rollout_began_ms
            });
            Some(LiveProxy { name, has_table, drifting })
        });
        let in_grace = self.grace_until_ms.is_none_or(|until_ms| now_ms < until_ms);
        FleetView { reliable: !in_grace && !self.coverage.is_blind(), proxies: live.collect() }
    }

    /// Sums the counts of the selected proxies over the last windows.
    pub fn recent_counts(&self, selected: impl Fn(&str) -> bool) -> OutcomeCounts {
        let mut sum = OutcomeCounts::default();
        for (_, proxy) in self.proxies.iter().filter(|(name, _)| selected(name)) {
            sum.add(&proxy.recent.sum());
        }
        sum
    }

    /// The operators' page of the fleet's drift.
    pub fn page(&self, now_ms: u64, config: &Config) -> DriftPage {
        let silence_threshold_ms = self.report_loss.silence_threshold_ms(config);
        let mut revisions = BTreeMap::new();
        for proxy in self.proxies.values().filter(|p| p.reported_within(now_ms, silence_threshold_ms)) {
            if let Some(latest) = &proxy.latest {
                *revisions.entry(latest.revision).or_default() += 1;
            }
        }
        let grace_remaining_ms =
            self.grace_until_ms.map_or(config.grace_ms, |until_ms| until_ms.saturating_sub(now_ms));
        DriftPage {
            reporting: self.coverage.reporting,
            alive: self.coverage.alive,
            blind: self.coverage.is_blind(),
            grace_remaining_ms,
            report_loss: self.report_loss.share(),
            silence_threshold_ms,
            revisions,
            findings: self.raised.findings.values().cloned().collect(),
        }
    }
}
