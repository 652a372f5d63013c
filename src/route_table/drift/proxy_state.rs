//! The detector's state of one proxy: its latest report, the time from which it could have its target table,
//! its state according to its peers, and the deviations counted so far. The state is kept in memory only and
//! is rebuilt from reports after a restart of the registry.

use super::super::outcome_counts::RecentCounts;
use super::super::{Config, FindingKind, Report, Revision};
use super::deviation::DeviationStreak;
use super::weight_test::WeightTest;
use std::collections::VecDeque;

/// Maximum number of reports that are accepted under one name in a window, late and repeated ones included.
const MAX_REPORTS_PER_WINDOW: u32 = 16;
/// Number of starts and returns that are kept for a proxy.
const MAX_RESTARTS: usize = 64;

/// The kept fields of a proxy's newest report.
#[derive(Clone, Debug)]
pub(super) struct LatestReport {
    /// Start of the process, Unix time in microseconds.
    pub generation: u64,
    /// Number of the report.
    pub number: u64,
    /// The received ones of the 64 numbers up to `number`: bit `n` stands for `number - n`.
    pub received_mask: u64,
    /// Time at which the report was received, Unix time in milliseconds.
    pub received_ms: u64,
    /// Revision of the table that the proxy has in force.
    pub revision: Revision,
    /// Digest of the weights that the proxy has in force.
    pub digest: String,
    /// Number of live proxies by the proxy's membership.
    pub alive: u32,
    /// Time at which the first report of this generation was received, Unix time in milliseconds.
    pub generation_first_ms: u64,
}

/// The newest report of an older process with the proxy's name.
#[derive(Clone, Copy, Debug)]
pub(super) struct OlderProcess {
    /// Start of the older process, Unix time in microseconds.
    pub generation: u64,
    /// Number of the report.
    pub number: u64,
    /// Time at which the report was received, Unix time in milliseconds.
    pub received_ms: u64,
}

/// The period in which peers have reported a proxy as alive.
#[derive(Clone, Copy, Debug)]
pub(super) struct AlivePerPeers {
    /// Time of the last peer report that the proxy is alive, Unix time in milliseconds.
    pub last_ms: u64,
    /// Time since which peers have reported the proxy as alive without a break, Unix time in milliseconds.
    pub since_ms: u64,
}

/// The state of the proxy with one name.
#[derive(Clone, Debug)]
pub(super) struct ProxyState {
    /// Newest report; `None` for a proxy that only its peers reported.
    pub latest: Option<LatestReport>,
    /// Time at which the proxy was first reported, by itself or by a peer, Unix time in milliseconds.
    pub known_since_ms: u64,
    /// Time since which the proxy could have its present target table, Unix time in milliseconds. The grace
    /// time of `lagging` counts from it.
    pub target_since_ms: u64,
    /// Period in which peers have reported the proxy as alive; `None` if they consider it dead or never
    /// reported it.
    pub alive_per_peers: Option<AlivePerPeers>,
    /// Newest report of an older process under the same name.
    pub older_process: Option<OlderProcess>,
    /// Times at which the proxy restarted or returned after silence, Unix time in milliseconds.
    pub restarts: VecDeque<u64>,
    /// Windows collected for the proxy's next weight test.
    pub weight_test: WeightTest,
    /// Counts of the proxy's last windows.
    pub recent: RecentCounts,
    /// One streak for each kind of finding, indexed by the kind.
    pub deviations: [DeviationStreak; FindingKind::COUNT],
    report_rate: ReportRate,
}

/// The rate at which reports arrive under one name.
#[derive(Clone, Copy, Debug, Default)]
struct ReportRate {
    /// Number of the window of the last report: its time divided by the length of a window.
    window: u64,
    /// Number of reports in that window.
    count: u32,
}

impl ProxyState {
    /// Creates the state of a proxy that is first reported at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        ProxyState {
            latest: None,
            known_since_ms: now_ms,
            target_since_ms: now_ms,
            alive_per_peers: None,
            older_process: None,
            restarts: VecDeque::new(),
            weight_test: WeightTest::default(),
            recent: RecentCounts::default(),
            deviations: Default::default(),
            report_rate: ReportRate::default(),
        }
    }

    /// Counts a report, and returns whether the proxy has sent more than [`MAX_REPORTS_PER_WINDOW`] in this
    /// window.
    ///
    /// Failure: two processes under one name, or one with a wrong interval, would use up the registry's
    /// processing time. Such a report is refused with status 429.
    pub fn exceeds_report_rate(&mut self, now_ms: u64, config: &Config) -> bool {
        let window = now_ms / config.report_ms;
        let last = self.report_rate;
        let count = if last.window == window { last.count + 1 } else { 1 };
        self.report_rate = ReportRate { window, count };
        count > MAX_REPORTS_PER_WINDOW
    }

    /// The streak of a kind of deviation.
    pub fn deviation(&mut self, kind: FindingKind) -> &mut DeviationStreak {
        &mut self.deviations[kind as usize]
    }

    /// Whether a deviation of a kind holds.
    pub fn has(&self, kind: FindingKind) -> bool {
        self.deviations[kind as usize].active
    }

    /// Whether a deviation of a kind holds or was observed in at least two consecutive windows.
    pub fn has_or_nearly_has(&self, kind: FindingKind) -> bool {
        self.has(kind) || self.deviations[kind as usize].bad > 1
    }

    /// Time at which the newest report was received, Unix time in milliseconds.
    pub fn received_ms(&self) -> Option<u64> {
        self.latest.as_ref().map(|latest| latest.received_ms)
    }

    /// Whether the proxy has reported within the last `limit_ms` milliseconds.
    pub fn reported_within(&self, now_ms: u64, limit_ms: u64) -> bool {
        self.received_ms().is_some_and(|received_ms| now_ms.saturating_sub(received_ms) <= limit_ms)
    }

    /// Receives a peer's view of the proxy. A pause of more than `break_ms` between two peer reports restarts
    /// [`AlivePerPeers::since_ms`].
    pub fn receive_peer_view(&mut self, now_ms: u64, alive: bool, break_ms: u64) {
        let since_ms = match self.alive_per_peers {
            Some(view) if now_ms.saturating_sub(view.last_ms) <= break_ms => view.since_ms,
            _ => now_ms,
        };
        self.alive_per_peers = alive.then_some(AlivePerPeers { last_ms: now_ms, since_ms });
    }

    /// Whether its peers consider the proxy alive, by their reports of the last two windows.
    pub fn is_alive_per_peers(&self, now_ms: u64, config: &Config) -> bool {
        self.alive_per_peers.is_some_and(|view| now_ms.saturating_sub(view.last_ms) <= 2 * config.report_ms)
    }

    /// Stores a report as the newest one.
    pub fn set_latest(&mut self, now_ms: u64, report: &Report, generation_first_ms: u64, received_mask: u64) {
        if generation_first_ms == now_ms {
            self.target_since_ms = now_ms;
        }
        let surplus = self.restarts.len().saturating_sub(MAX_RESTARTS);
        self.restarts.drain(..surplus);
        self.latest = Some(LatestReport {
            generation: report.generation,
            number: report.number,
            received_mask,
            received_ms: now_ms,
            revision: report.revision,
            digest: report.digest.clone(),
            alive: report.alive,
            generation_first_ms,
        });
    }
}
