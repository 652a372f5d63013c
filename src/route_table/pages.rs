//! The pages that operators read. Their JSON keys are a contract, kept by `serde(rename)` where a field has
//! another name.

use super::control::Control;
use super::record::{ActiveProposal, EndedProposal};
use super::{Finding, OutcomeCounts, Revision, Table};
use serde::Serialize;

/// The state of the table: what is in force, the active proposal, and how earlier proposals ended.
#[derive(Serialize, Clone, Debug)]
pub struct StatePage {
    /// Revision that a proposal must be made from.
    pub newest: Revision,
    /// [`Control::version`], which watches compare.
    pub version: u64,
    /// Last good table.
    pub in_force: Table,
    /// Active proposal, with its rollout.
    #[serde(rename = "work")]
    pub active: Option<ActiveProposal>,
    /// Condition that the rollout waits for, if it waits.
    #[serde(rename = "waits")]
    pub waiting_for: Option<String>,
    /// Counts of proxies with the new table since the stage began.
    pub with_table: OutcomeCounts,
    /// Counts of proxies without the new table since the stage began.
    pub without_table: OutcomeCounts,
    /// Newest ended proposals, newest last.
    #[serde(rename = "past")]
    pub ended: Vec<EndedProposal>,
}

/// The state of the fleet as the drift detector sees it.
#[derive(Serialize, Clone, Debug)]
pub struct DriftPage {
    /// Number of proxies with a report in the last two and a half windows.
    #[serde(rename = "heard")]
    pub reporting: usize,
    /// Number of live proxies, by membership or by reports.
    pub alive: usize,
    /// Whether too few proxies report to raise or clear anything.
    pub blind: bool,
    /// Remaining grace time in milliseconds: no finding is raised until it is over.
    #[serde(rename = "quiet_ms")]
    pub grace_remaining_ms: u64,
    /// Share of reports that are lost, estimated from the gaps in their numbers.
    #[serde(rename = "lost")]
    pub report_loss: f64,
    /// Time without a report, in milliseconds, after which a proxy counts as silent or gone.
    #[serde(rename = "missed_ms")]
    pub silence_threshold_ms: u64,
    /// Number of reporting proxies by the revision that they have in force.
    pub revisions: std::collections::BTreeMap<Revision, usize>,
    /// Findings that are raised.
    pub findings: Vec<Finding>,
}

impl Control {
    /// The operators' page of the route table.
    pub fn state_page(&self) -> StatePage {
        StatePage {
            newest: self.newest_revision(),
            version: self.version(),
            in_force: self.record.in_force.clone(),
            active: self.record.active.clone(),
            waiting_for: self.stage_progress.waiting_for.clone(),
            with_table: self.stage_progress.with_table,
            without_table: self.stage_progress.without_table,
            ended: self.record.ended.clone(),
        }
    }

    /// The operators' page of the fleet's drift.
    pub fn drift_page(&self, now_ms: u64) -> DriftPage {
        self.drift.page(now_ms, &self.config)
    }
}
