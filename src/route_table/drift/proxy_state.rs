//! What the detector knows of one proxy: its latest report, when it could first have its target table, what
//! its peers say of it, and the deviations counted so far. In memory only; after a restart of the registry it
//! is learned anew.

use super::super::outcome_counts::RecentCounts;
use super::super::{Config, FindingKind, Report, Revision};
use super::deviation::DeviationStreak;
use super::weight_test::WeightTest;
use std::collections::VecDeque;

/// Reports that are accepted of one name in a window, late and repeated ones included.
const MAX_REPORTS_PER_WINDOW: u32 = 16;
/// Starts and returns that are remembered.
const MAX_RESTARTS: usize = 64;

/// The newest report of a proxy, as far as it is kept.
#[derive(Clone, Debug)]
pub(super) struct LatestReport {
    /// Start of the process, Unix time in microseconds.
    pub generation: u64,
    /// Its number.
    pub number: u64,
    /// Which of the 64 numbers up to `number` were received: bit `n` stands for `number - n`.
    pub received_mask: u64,
    /// When it was received.
    pub received_ms: u64,
    /// Revision of the table in force there.
    pub revision: Revision,
    /// Digest of the weights in force there.
    pub digest: String,
    /// Live proxies by its membership.
    pub alive: u32,
    /// When the first report of this generation was received.
    pub generation_first_ms: u64,
}

/// The newest report of an older process with the same name.
#[derive(Clone, Copy, Debug)]
pub(super) struct OlderProcess {
    /// Its start.
    pub generation: u64,
    /// Number of its newest report.
    pub number: u64,
    /// When that was received.
    pub received_ms: u64,
}

/// What the peers say of a proxy that they consider alive.
#[derive(Clone, Copy, Debug)]
pub(super) struct AlivePerPeers {
    /// When a peer last said so.
    pub last_ms: u64,
    /// Since when they have said so without a break.
    pub since_ms: u64,
}

/// One proxy, by its name.
#[derive(Clone, Debug)]
pub(super) struct ProxyState {
    /// Its newest report; none of a proxy that only its peers reported.
    pub latest: Option<LatestReport>,
    /// When it was first reported, by itself or by a peer.
    pub known_since_ms: u64,
    /// Since when it could have its present target table: the grace of `lagging` counts from here.
    pub target_since_ms: u64,
    /// What its peers say of it, if they consider it alive.
    pub alive_per_peers: Option<AlivePerPeers>,
    /// An older process that reports under the same name.
    pub older_process: Option<OlderProcess>,
    /// When it started anew or came back after silence.
    pub restarts: VecDeque<u64>,
    /// The windows that its next weight test will use.
    pub weight_test: WeightTest,
    /// Its counts in the last windows.
    pub recent: RecentCounts,
    /// One streak for each kind, indexed by it.
    pub deviations: [DeviationStreak; FindingKind::COUNT],
    report_rate: ReportRate,
}

/// How often a proxy reports.
#[derive(Clone, Copy, Debug, Default)]
struct ReportRate {
    /// Number of the window in which it last reported: the time over the length of a window.
    window: u64,
    /// Its reports in that window.
    count: u32,
}

impl ProxyState {
    /// A proxy of which nothing is known yet.
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

    /// Counts a report, and says whether the proxy sends more than [`MAX_REPORTS_PER_WINDOW`].
    ///
    /// Failure: two processes under one name, or one with a wrong interval, would take the registry's time.
    /// The report is refused with status 429.
    pub fn exceeds_report_rate(&mut self, now_ms: u64, config: &Config) -> bool {
        let window = now_ms / config.report_ms;
        let last = self.report_rate;
        let count = if last.window == window { last.count + 1 } else { 1 };
        self.report_rate = ReportRate { window, count };
        count > MAX_REPORTS_PER_WINDOW
    }

    /// The streak of that kind.
    pub fn deviation(&mut self, kind: FindingKind) -> &mut DeviationStreak {
        &mut self.deviations[kind as usize]
    }

    /// Whether a deviation of that kind holds.
    pub fn has(&self, kind: FindingKind) -> bool {
        self.deviations[kind as usize].active
    }

    /// Whether a deviation of that kind holds or was seen in two windows in a row.
    pub fn has_or_nearly_has(&self, kind: FindingKind) -> bool {
        self.has(kind) || self.deviations[kind as usize].bad > 1
    }

    /// When its newest report was received.
    pub fn received_ms(&self) -> Option<u64> {
        self.latest.as_ref().map(|latest| latest.received_ms)
    }

    /// Whether it has reported within that time.
    pub fn reported_within(&self, now_ms: u64, limit_ms: u64) -> bool {
        self.received_ms().is_some_and(|received_ms| now_ms.saturating_sub(received_ms) <= limit_ms)
    }

    /// Takes what a peer says of it. A pause of more than `break_ms` between two peers' reports starts
    /// `since_ms` again.
    pub fn receive_peer_view(&mut self, now_ms: u64, alive: bool, break_ms: u64) {
        let since_ms = match self.alive_per_peers {
            Some(view) if now_ms.saturating_sub(view.last_ms) <= break_ms => view.since_ms,
            _ => now_ms,
        };
        self.alive_per_peers = alive.then_some(AlivePerPeers { last_ms: now_ms, since_ms });
    }

    /// Whether its peers consider it alive, by their reports of the last two windows.
    pub fn is_alive_per_peers(&self, now_ms: u64, config: &Config) -> bool {
        self.alive_per_peers.is_some_and(|view| now_ms.saturating_sub(view.last_ms) <= 2 * config.report_ms)
    }

    /// Makes a report the newest one.
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
