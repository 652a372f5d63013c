//! The order of a proxy's reports. Reports may be lost, repeated, late or out of order; each counts at most
//! once, by the generation of its process and its number in that generation.

use super::super::{Config, FindingKind, Report};
use super::deviation::Observation;
use super::proxy_state::{LatestReport, OlderProcess, ProxyState};
use std::cmp::Ordering;

/// Number of report numbers that [`LatestReport::received_mask`] covers.
const MASK_BITS: u64 = 64;

/// Whether and how a report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// The report does not count: it is repeated, late or from an older process.
    Ignored,
    /// The report counts and has another table than the previous one, so that its window mixes two tables.
    TableChanged,
    /// The report counts and has the table of the previous one.
    SameTable,
}

/// The place of a report in the sequence of its proxy's reports.
pub(super) struct ReportPlace {
    /// Whether and how the report counts.
    pub outcome: ReportOutcome,
    /// Gap in the report numbers, for
    /// [`ReportLoss::count_received`](super::report_loss::ReportLoss::count_received); `None` if the report
    /// is not counted there.
    pub gap: Option<u64>,
}

impl ReportPlace {
    fn without_gap(outcome: ReportOutcome) -> Self {
        ReportPlace { outcome, gap: None }
    }
}

impl ProxyState {
    /// Determines the place of a report, and stores it as the latest one if it is newer.
    pub fn place_report(
        &mut self,
        now_ms: u64,
        report: &Report,
        silence_threshold_ms: u64,
        config: &Config,
    ) -> ReportPlace {
        let Some(latest) = &mut self.latest else {
            self.set_latest(now_ms, report, now_ms, 1);
            return ReportPlace::without_gap(ReportOutcome::TableChanged);
        };
        match report.generation.cmp(&latest.generation) {
            Ordering::Less => {
                let newer_process_since_ms = latest.generation_first_ms;
                self.place_from_older_process(now_ms, report, newer_process_since_ms, config)
            }
            Ordering::Greater => {
                self.restarts.push_back(now_ms);
                self.set_latest(now_ms, report, now_ms, 1);
                ReportPlace::without_gap(ReportOutcome::TableChanged)
            }
            Ordering::Equal if report.number <= latest.number => place_late(latest, report.number),
            Ordering::Equal => self.place_next(now_ms, report, silence_threshold_ms),
        }
    }

    /// Places a report of an older process under the same name, which never counts.
    ///
    /// The last reports of an ended process may be late by the grace time. A process that reports after that
    /// is still running beside the newer one, which is a `zombie`.
    fn place_from_older_process(
        &mut self,
        now_ms: u64,
        report: &Report,
        newer_process_since_ms: u64,
        config: &Config,
    ) -> ReportPlace {
        let position = (report.generation, report.number);
        let is_new = self.older_process.is_none_or(|older| position > (older.generation, older.number));
        if is_new {
            self.older_process = Some(OlderProcess {
                generation: report.generation,
                number: report.number,
                received_ms: now_ms,
            });
            if now_ms.saturating_sub(newer_process_since_ms) > config.grace_ms {
                let evidence = format!("a process of generation {} still reports", report.generation);
                let observation = Observation { cause: 0, evidence };
                self.deviation(FindingKind::Zombie).count_window(now_ms, Some(observation), config);
            }
        }
        ReportPlace::without_gap(ReportOutcome::Ignored)
    }

    /// Places a report of the present process with a higher number than the latest.
    fn place_next(&mut self, now_ms: u64, report: &Report, silence_threshold_ms: u64) -> ReportPlace {
        let Some(latest) = &self.latest else { return ReportPlace::without_gap(ReportOutcome::Ignored) };
        let gap = report.number - latest.number;
        let same_table = latest.revision == report.revision && latest.digest == report.digest;
        let came_back = now_ms.saturating_sub(latest.received_ms) > silence_threshold_ms;
        let earlier_mask = latest.received_mask.checked_shl(gap.min(MASK_BITS) as u32).unwrap_or(0);
        let generation_first_ms = latest.generation_first_ms;
        if came_back {
            self.target_since_ms = now_ms;
            self.restarts.push_back(now_ms);
        }
        self.set_latest(now_ms, report, generation_first_ms, earlier_mask | 1);
        let outcome = if same_table { ReportOutcome::SameTable } else { ReportOutcome::TableChanged };
        ReportPlace { outcome, gap: Some(gap) }
    }
}

/// Places a report that is not newer than the latest of its process: it is late if it was not received
/// before, else repeated.
fn place_late(latest: &mut LatestReport, number: u64) -> ReportPlace {
    let back = latest.number - number;
    let late = back < MASK_BITS && latest.received_mask & (1 << back) == 0;
    if late {
        latest.received_mask |= 1 << back;
    }
    ReportPlace { outcome: ReportOutcome::Ignored, gap: late.then_some(0) }
}
