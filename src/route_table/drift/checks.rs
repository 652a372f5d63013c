//! The checks of one proxy against its target table. Each check counts a good or a bad window of one kind.
//!
//! A report counts windows of `ahead`, `lagging`, `diverged` and `effect`, and good windows of `silent`,
//! `gone` and `zombie`. The periodic evaluation checks `silent`, `gone` and `flapping`. `report_order` counts
//! bad windows of `zombie` on reports of an older process.

use super::super::backend_list::BackendList;
use super::super::{Config, FindingKind, Report, RouteRecord, Table};
use super::deviation::{DeviationStreak, Observation};
use super::proxy_state::ProxyState;
use super::report_order::ReportOutcome;
use super::weight_test::WeightTest;

/// Windows, in addition to [`Config::raise_after_windows`], for which the peers' view must last before
/// `silent` and `gone` may change into each other.
const EXTRA_SWITCH_WINDOWS: u32 = 2;

/// Result of comparing a report with the proxy's target table.
struct TableCheck {
    ahead: Option<Observation>,
    lagging: Option<Observation>,
    diverged: Option<Observation>,
    /// Whether the reported table is the target table, by revision and digest.
    on_target: bool,
}

impl TableCheck {
    /// Compares a report with the target table and the issued revisions. `target_for_ms` is the time, in
    /// milliseconds, for which the proxy could have had the target table.
    fn new(
        report: &Report,
        target: &Table,
        target_for_ms: u64,
        record: &RouteRecord,
        config: &Config,
    ) -> Self {
        let ahead = check_ahead(report, target, record);
        let revision = report.revision;
        let late = revision < target.revision && target_for_ms > config.grace_ms;
        let lagging = (ahead.is_none() && late).then(|| Observation {
            cause: target.revision,
            evidence: format!(
                "has revision {revision}, could have {} for {target_for_ms} ms",
                target.revision
            ),
        });
        let issued = record.issued.iter().find(|issued| issued.revision == revision);
        let diverged = issued.filter(|issued| issued.digest != report.digest).map(|issued| Observation {
            cause: revision,
            evidence: format!(
                "revision {revision} with digest {}, should be {}",
                report.digest, issued.digest
            ),
        });
        let on_target = revision == target.revision && diverged.is_none();
        TableCheck { ahead, lagging, diverged, on_target }
    }
}

/// Checks whether a proxy has a revision that it cannot have from this registry's present state.
///
/// Failure: the registry was started from an old directory. Its proxies then have revisions that it never
/// issued, or that lie above the target without being rolled out. Revisions older than all recorded ones are
/// not checked.
fn check_ahead(report: &Report, target: &Table, record: &RouteRecord) -> Option<Observation> {
    let revision = report.revision;
    let oldest_remembered = record.issued.iter().map(|issued| issued.revision).min().unwrap_or(0);
    let was_issued = record.issued.iter().any(|issued| issued.revision == revision);
    let rolling_out = record
        .active
        .as_ref()
        .is_some_and(|active| active.rollout.is_some() && active.table.revision == revision);
    let fault = if !was_issued && revision > oldest_remembered {
        "never given"
    } else if revision > target.revision && !rolling_out {
        "taken back"
    } else {
        return None;
    };
    let evidence = format!("has revision {revision}, which was {fault}; meant is {}", target.revision);
    Some(Observation { cause: revision, evidence })
}

impl ProxyState {
    /// Checks a report, which is not ignored, against the target table.
    pub fn check_against_target(
        &mut self,
        now_ms: u64,
        report: &Report,
        outcome: ReportOutcome,
        record: &RouteRecord,
        backends: &BackendList,
        config: &Config,
    ) {
        let target = record.target_table(&report.name);
        let target_for_ms = now_ms.saturating_sub(self.target_since_ms);
        let check = TableCheck::new(report, target, target_for_ms, record, config);
        let on_target = check.on_target;
        self.deviation(FindingKind::Ahead).count_window(now_ms, check.ahead, config);
        self.deviation(FindingKind::Lagging).count_window(now_ms, check.lagging, config);
        self.deviation(FindingKind::Diverged).count_window(now_ms, check.diverged, config);
        self.deviation(FindingKind::Silent).count_window(now_ms, None, config);
        self.deviation(FindingKind::Gone).count_window(now_ms, None, config);
        self.clear_zombie_after_silence(now_ms, config);
        if on_target && outcome == ReportOutcome::SameTable {
            self.test_weights(now_ms, report, target, backends, config);
        } else {
            // Some calls of this window were not distributed by the target's weights.
            self.weight_test = WeightTest::default();
        }
        if !on_target {
            self.deviation(FindingKind::Effect).count_window(now_ms, None, config);
        }
    }

    /// Counts a good window of `zombie` once the older process has been silent for three windows and the
    /// grace time.
    fn clear_zombie_after_silence(&mut self, now_ms: u64, config: &Config) {
        let silent_ms = self.older_process.map_or(u64::MAX, |older| now_ms.saturating_sub(older.received_ms));
        if silent_ms > config.grace_ms.max(3 * config.report_ms) {
            self.deviation(FindingKind::Zombie).count_window(now_ms, None, config);
        }
    }

    /// Adds the calls of a report to the weight test, and counts a window of `effect` once there are enough
    /// calls.
    fn test_weights(
        &mut self,
        now_ms: u64,
        report: &Report,
        target: &Table,
        backends: &BackendList,
        config: &Config,
    ) {
        self.weight_test.add_window(now_ms, report);
        let Some(result) = self.weight_test.take_result(&target.weights, backends, config) else { return };
        let observation = result.mismatch.map(|evidence| Observation { cause: 0, evidence });
        self.deviation(FindingKind::Effect).count_window(now_ms, observation, config);
    }

    /// Marks a proxy that has been silent for longer than lost reports explain as `silent` if its peers
    /// consider it alive, else as `gone`. Its deviations from the table are dropped, since they can no longer
    /// be observed.
    pub fn mark_lost(&mut self, now_ms: u64, silent_ms: u64, config: &Config) {
        let (kind, other, peers) = if self.counts_as_alive(now_ms, config) {
            (FindingKind::Silent, FindingKind::Gone, "peers hold it for alive")
        } else {
            (FindingKind::Gone, FindingKind::Silent, "no peer holds it for alive")
        };
        let evidence = format!("no report for {silent_ms} ms, {peers}");
        let outdated =
            [other, FindingKind::Lagging, FindingKind::Diverged, FindingKind::Ahead, FindingKind::Effect];
        for kind in outdated {
            *self.deviation(kind) = DeviationStreak::default();
        }
        let since_ms = now_ms - silent_ms;
        *self.deviation(kind) =
            DeviationStreak { active: true, since_ms, evidence, ..DeviationStreak::default() };
    }

    /// Whether a silent proxy counts as alive, with hysteresis: once `silent` or `gone` is raised, the peers
    /// must report the other view for some windows. Failure: unstable membership would raise and clear the
    /// two in turn.
    fn counts_as_alive(&self, now_ms: u64, config: &Config) -> bool {
        let switch_ms = u64::from(config.raise_after_windows + EXTRA_SWITCH_WINDOWS) * config.report_ms;
        let alive_now = self.is_alive_per_peers(now_ms, config);
        let Some(view) = self.alive_per_peers else { return false };
        if self.has(FindingKind::Silent) {
            now_ms.saturating_sub(view.last_ms) <= switch_ms
        } else if self.has(FindingKind::Gone) {
            alive_now && view.last_ms - view.since_ms >= switch_ms
        } else {
            alive_now
        }
    }

    /// Raises `flapping` after [`Config::flap_threshold`] starts and returns within
    /// [`Config::flap_window_ms`]; ends it when at most half as many remain.
    pub fn check_flapping(&mut self, now_ms: u64, config: &Config) {
        let recent =
            self.restarts.iter().filter(|at_ms| now_ms.saturating_sub(**at_ms) <= config.flap_window_ms);
        let count = recent.clone().count();
        let first_ms = recent.min().copied().unwrap_or(now_ms);
        let flapping = self.deviation(FindingKind::Flapping);
        if count >= config.flap_threshold {
            flapping.evidence = format!("started or came back {count} times in {} ms", config.flap_window_ms);
            if !flapping.active {
                flapping.since_ms = first_ms;
            }
            flapping.active = true;
        }
        flapping.active &= count > config.flap_threshold / 2;
    }
}
