//! The order of a proxy's reports. Reports are lost, repeated, late and out of order; each counts at most
//! once, by the generation of its process and its number within that.

use super::super::{Config, FindingKind, Report};
use super::deviation::Observation;
use super::proxy_state::{LatestReport, OlderProcess, ProxyState};
use std::cmp::Ordering;

/// Numbers that [`LatestReport::received_mask`] covers.
const MASK_BITS: u64 = 64;

/// Whether and how a report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    /// It does not count: it is repeated or late, or of an older process.
    Ignored,
    /// It counts, and has another table than the report before: its window mixes two tables.
    TableChanged,
    /// It counts, with the table of the report before.
    SameTable,
}

/// The place of a report among those of its proxy.
pub(super) struct ReportPlace {
    /// Whether it counts.
    pub outcome: ReportOutcome,
    /// For the estimate of lost reports, see
    /// [`ReportLoss::count_received`](super::report_loss::ReportLoss::count_received).
    pub gap: Option<u64>,
}

impl ReportPlace {
    fn without_gap(outcome: ReportOutcome) -> Self {
        ReportPlace { outcome, gap: None }
    }
}

impl ProxyState {
    /// Finds the place of a report and makes it the latest one if it is newer.
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

    /// A report of an older process under the same name. It never counts.
    ///
    /// Its last reports may be late by the grace time. One that goes on after that is a second process:
    /// `zombie`.
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

    /// A report of the present process with a higher number than the latest.
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

/// A report that is not newer than the latest of its process: late if it was not received before, else
/// repeated.
fn place_late(latest: &mut LatestReport, number: u64) -> ReportPlace {
    let back = latest.number - number;
    let late = back < MASK_BITS && latest.received_mask & (1 << back) == 0;
    if late {
        latest.received_mask |= 1 << back;
    }
    ReportPlace { outcome: ReportOutcome::Ignored, gap: late.then_some(0) }
}
