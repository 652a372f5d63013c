//! What operators read.

use super::control::Control;
use super::record::{ActiveProposal, EndedProposal};
use super::{Finding, OutcomeCounts, Revision, Table};
use serde::Serialize;

/// The state of the table: what is in force, what is proposed, what became of earlier proposals.
#[derive(Serialize, Clone, Debug)]
pub struct StatePage {
    /// What a proposal must be made from.
    pub newest: Revision,
    /// What watches compare.
    pub version: u64,
    /// The last good table.
    pub in_force: Table,
    /// The proposal in work, with its rollout.
    #[serde(rename = "work")]
    pub active: Option<ActiveProposal>,
    /// What the rollout waits for.
    #[serde(rename = "waits")]
    pub waiting_for: Option<String>,
    /// What was counted since the stage began: of those who have the new table.
    pub with_table: OutcomeCounts,
    /// And of those who have not.
    pub without_table: OutcomeCounts,
    /// How earlier ones ended, newest last.
    #[serde(rename = "past")]
    pub ended: Vec<EndedProposal>,
}

/// What the drift detector says.
#[derive(Serialize, Clone, Debug)]
pub struct DriftPage {
    /// Proxies heard of late.
    pub heard: usize,
    /// Proxies that should be.
    pub alive: usize,
    /// Whether it hears too few to raise or clear anything.
    pub blind: bool,
    /// How long it does not raise anything yet, after a start or a stand-still.
    pub quiet_ms: u64,
    /// Share of reports that are lost on the way, by the gaps in their numbers.
    pub lost: f64,
    /// How long a proxy must be unheard before it counts as silent or gone.
    pub missed_ms: u64,
    /// How many proxies have which revision.
    pub revisions: std::collections::BTreeMap<Revision, usize>,
    /// What is raised.
    pub findings: Vec<Finding>,
}

impl Control {
    /// The state of the table.
    pub fn state_page(&self) -> StatePage {
        StatePage {
            newest: self.newest_revision(),
            version: self.version(),
            in_force: self.record.in_force.clone(),
            active: self.record.active.clone(),
            waiting_for: self.standing.waits.clone(),
            with_table: self.standing.have,
            without_table: self.standing.without,
            ended: self.record.ended.clone(),
        }
    }

    /// The state of the fleet.
    pub fn drift_page(&self, now: u64) -> DriftPage {
        self.drift.page(now, &self.config)
    }
}
