//! The periodic evaluation: finds silent and flapping proxies, and raises and clears findings for all
//! deviations.

use super::super::{Config, Effect};
use super::Drift;
use super::coverage::ReportCoverage;
use super::finding::{Finding, FindingKind};
use super::grouping::{Cause, Deviation, FindingKey};
use super::proxy_state::ProxyState;
use std::collections::BTreeMap;

/// Number of evaluations in each window.
const EVALUATIONS_PER_WINDOW: u64 = 3;
/// Minimum number of proxies in a finding of the fleet, which must also be a tenth of those that report.
const MIN_FLEET_FINDING: usize = 3;
/// Key of the finding `blind`, which concerns the detector itself.
const BLIND_KEY: FindingKey = FindingKey::of_fleet(Cause { kind: FindingKind::Blind, revision: 0 });

impl Drift {
    /// Looks for silent and flapping proxies, and raises and clears findings for all deviations. Does nothing
    /// before a third of a window has passed since the last evaluation.
    pub fn evaluate(&mut self, now_ms: u64, config: &Config) -> Vec<Effect> {
        let grace_until_ms = *self.grace_until_ms.get_or_insert(now_ms + config.grace_ms);
        if now_ms < self.next_evaluation_ms {
            return Vec::new();
        }
        self.next_evaluation_ms = now_ms + config.report_ms / EVALUATIONS_PER_WINDOW;
        self.report_loss.decay(now_ms, config.report_ms);
        self.forget_lost_proxies(now_ms, config);
        self.coverage = ReportCoverage::of(now_ms, self.listening_since_ms, self.proxies.values(), config);
        self.ahead = self.count_ahead(now_ms, config);
        if self.coverage.is_blind() {
            self.grace_until_ms = Some(grace_until_ms.max(now_ms + config.grace_ms));
            let starting = now_ms < self.listening_since_ms + config.grace_ms;
            return if starting { Vec::new() } else { self.raise_blind(now_ms) };
        }
        let in_grace = now_ms < grace_until_ms;
        let (deviations, impending) = self.collect_deviations(now_ms, in_grace, config);
        self.update_findings(now_ms, deviations, &impending, in_grace)
    }

    /// Counts the reporting proxies with `ahead`, raised or about to be.
    fn count_ahead(&self, now_ms: u64, config: &Config) -> usize {
        let silence_threshold_ms = self.report_loss.silence_threshold_ms(config);
        let reporting =
            self.proxies.values().filter(|proxy| proxy.reported_within(now_ms, silence_threshold_ms));
        reporting.filter(|proxy| proxy.has_or_nearly_has(FindingKind::Ahead)).count()
    }

    /// Collects the deviations that hold now, sorted by the proxy's name, and the number of proxies that are
    /// about to deviate by each cause.
    fn collect_deviations(
        &mut self,
        now_ms: u64,
        in_grace: bool,
        config: &Config,
    ) -> (Vec<Deviation>, BTreeMap<Cause, usize>) {
        let silence_threshold_ms = self.report_loss.silence_threshold_ms(config);
        let mut deviations = Vec::new();
        let mut impending = BTreeMap::new();
        for (name, proxy) in &mut self.proxies {
            let last_heard_ms = proxy.received_ms().unwrap_or(proxy.known_since_ms);
            let silent_ms = now_ms.saturating_sub(last_heard_ms.max(self.listening_since_ms));
            if !in_grace && silent_ms > silence_threshold_ms {
                proxy.mark_lost(now_ms, silent_ms, config);
            } else if silent_ms + config.report_ms > silence_threshold_ms {
                let alive = proxy.is_alive_per_peers(now_ms, config);
                let kind = if alive { FindingKind::Silent } else { FindingKind::Gone };
                *impending.entry(Cause { kind, revision: 0 }).or_default() += usize::from(!proxy.has(kind));
            }
            proxy.check_flapping(now_ms, config);
            proxy.collect_deviations(name, &mut deviations, &mut impending);
        }
        deviations.sort_by(|a, b| a.proxy.cmp(&b.proxy));
        (deviations, impending)
    }

    /// Updates the raised findings. `blind` is cleared only after the grace time that follows it: until then
    /// nothing else is raised, and operators must be able to see the reason.
    fn update_findings(
        &mut self,
        now_ms: u64,
        deviations: Vec<Deviation>,
        impending: &BTreeMap<Cause, usize>,
        in_grace: bool,
    ) -> Vec<Effect> {
        let fleet_threshold = self.coverage.reporting.div_ceil(10).max(MIN_FLEET_FINDING);
        let blind = self.raised.findings.remove(&BLIND_KEY);
        let mut effects = self.raised.update(now_ms, deviations, impending, fleet_threshold, !in_grace);
        match blind {
            Some(finding) if in_grace => {
                self.raised.findings.insert(BLIND_KEY, finding);
            }
            cleared => effects.extend(cleared.map(Effect::Cleared)),
        }
        effects
    }

    /// Raises `blind`, or updates it. All other findings stay as they are, since the state of the proxies is
    /// not known.
    fn raise_blind(&mut self, now_ms: u64) -> Vec<Effect> {
        let ReportCoverage { reporting, alive } = self.coverage;
        let evidence = format!("heard of {reporting} of {alive} proxies");
        let proxies = alive - reporting;
        if let Some(raised) = self.raised.findings.get_mut(&BLIND_KEY) {
            raised.evidence = evidence;
            raised.proxies = proxies;
            return Vec::new();
        }
        let finding = Finding {
            kind: FindingKind::Blind,
            proxy: None,
            proxies,
            examples: Vec::new(),
            since_ms: now_ms,
            raised_ms: now_ms,
            evidence,
            what_to_do: FindingKind::Blind.what_to_do(),
        };
        self.raised.findings.insert(BLIND_KEY, finding.clone());
        vec![Effect::Raised(finding)]
    }

    /// Drops the state of proxies that have neither reported nor been reported as alive by a peer for
    /// [`Config::forget_ms`].
    fn forget_lost_proxies(&mut self, now_ms: u64, config: &Config) {
        let backend_counts = &mut self.backend_counts;
        self.proxies.retain(|_, proxy| {
            let reported_ms = proxy.received_ms().unwrap_or(proxy.known_since_ms);
            let alive_ms = proxy.alive_per_peers.map_or(0, |view| view.last_ms);
            let keep = now_ms.saturating_sub(reported_ms.max(alive_ms)) <= config.forget_ms;
            if !keep {
                *backend_counts -= proxy.weight_test.len();
            }
            keep
        });
    }
}

impl ProxyState {
    /// Adds the deviations of this proxy that hold now, and counts those that are about to hold. Only
    /// `flapping` is collected for a flapping proxy, since each of its starts would raise and clear other
    /// findings.
    fn collect_deviations(
        &self,
        name: &str,
        deviations: &mut Vec<Deviation>,
        impending: &mut BTreeMap<Cause, usize>,
    ) {
        for kind in FindingKind::OF_PROXIES {
            let streak = &self.deviations[kind as usize];
            let cause = Cause { kind, revision: streak.cause };
            if streak.active {
                let proxy = name.to_string();
                let evidence = streak.evidence.clone();
                deviations.push(Deviation { cause, proxy, since_ms: streak.since_ms, evidence });
            } else if streak.bad > 0 {
                *impending.entry(cause).or_default() += 1;
            }
            if kind == FindingKind::Flapping && streak.active {
                break;
            }
        }
    }
}
