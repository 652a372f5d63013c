//! The receipt of a report: bounds on the kept state, then the checks of the reporting proxy, then its view
//! of its peers.

use super::super::backend_list::BackendList;
use super::super::report_check::check_limits;
use super::super::{Config, OutcomeCounts, Report, ReportError, RouteRecord};
use super::proxy_state::ProxyState;
use super::{Drift, ReportOutcome};

impl Drift {
    /// Receives a report: counts it once, checks the proxy against its target table, and stores its view of
    /// its peers.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if the report is invalid, arrives too often, or exceeds the capacity for proxies or
    /// backends.
    pub fn receive(
        &mut self,
        now_ms: u64,
        report: Report,
        record: &RouteRecord,
        backends: &BackendList,
        config: &Config,
    ) -> Result<ReportOutcome, ReportError> {
        check_limits(&report, now_ms, config)?;
        self.ensure_capacity(now_ms, &report, config)?;
        let silence_threshold_ms = self.report_loss.silence_threshold_ms(config);
        let Some(proxy) = self.proxies.get_mut(&report.name) else { return Ok(ReportOutcome::Ignored) };
        if proxy.exceeds_report_rate(now_ms, config) {
            return Err(ReportError::TooOften { name: report.name, min_interval_ms: config.report_ms });
        }
        let other_counts = self.backend_counts - proxy.weight_test.len();
        if other_counts + report.calls.len() > config.max_backend_counts {
            return Err(ReportError::FullCounts { max: config.max_backend_counts });
        }
        let place = proxy.place_report(now_ms, &report, silence_threshold_ms, config);
        if let Some(gap) = place.gap {
            self.report_loss.count_received(gap);
        }
        if place.outcome == ReportOutcome::Ignored {
            return Ok(place.outcome);
        }
        self.highest_revision = self.highest_revision.max(report.revision);
        proxy.recent.add(now_ms / config.report_ms, &OutcomeCounts::of_report(&report));
        proxy.check_against_target(now_ms, &report, place.outcome, record, backends, config);
        self.backend_counts = other_counts + proxy.weight_test.len();
        self.receive_peer_views(now_ms, &report, config);
        Ok(place.outcome)
    }

    /// Stores a report's view of other proxies. Unknown proxies that are alive are added while there is
    /// capacity, so that a proxy that never reports is found.
    fn receive_peer_views(&mut self, now_ms: u64, report: &Report, config: &Config) {
        for peer in report.members.iter().filter(|peer| peer.name != report.name) {
            let has_capacity = self.proxies.len() < config.max_proxies;
            if let Some(proxy) = self.proxies.get_mut(&peer.name) {
                proxy.receive_peer_view(now_ms, peer.alive, 2 * config.report_ms);
            } else if has_capacity && peer.alive {
                let mut proxy = ProxyState::new(now_ms);
                proxy.receive_peer_view(now_ms, true, 0);
                self.proxies.insert(peer.name.clone(), proxy);
            }
        }
    }

    /// Adds the proxy of a report if it is unknown. At [`Config::max_proxies`] it replaces a proxy that only
    /// peers have reported.
    fn ensure_capacity(&mut self, now_ms: u64, report: &Report, config: &Config) -> Result<(), ReportError> {
        if self.proxies.contains_key(&report.name) {
            return Ok(());
        }
        if self.proxies.len() >= config.max_proxies {
            let only_per_peers = self.proxies.iter().find(|(_, proxy)| proxy.latest.is_none());
            let Some(name) = only_per_peers.map(|(name, _)| name.clone()) else {
                return Err(ReportError::Full { max: config.max_proxies });
            };
            self.proxies.remove(&name);
        }
        self.proxies.insert(report.name.clone(), ProxyState::new(now_ms));
        Ok(())
    }
}
