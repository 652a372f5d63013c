//! What a review of a rollout reads besides the record, and what it decides.

use super::super::{OutcomeCounts, Stage};
use std::collections::BTreeSet;

/// What was counted in the current stage. In memory only.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageProgress {
    /// When counting began: the last change of the stage or its members, the start of the registry, or the
    /// end of a pause of the registry itself.
    pub since_ms: u64,
    /// Counts reported by proxies that have the new table.
    pub with_table: OutcomeCounts,
    /// Counts reported by proxies that do not have it.
    pub without_table: OutcomeCounts,
    /// What the stage waits for, for the state page.
    pub waiting_for: Option<String>,
}

impl StageProgress {
    /// Nothing counted yet.
    pub fn new(now_ms: u64) -> Self {
        StageProgress { since_ms: now_ms, ..StageProgress::default() }
    }
}

/// A proxy whose reports arrive.
#[derive(Clone, Debug)]
pub(crate) struct LiveProxy<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether its newest report has the table of this rollout, by revision and digest.
    pub has_table: bool,
    /// Whether `diverged` or `effect` is raised of it since the rollout began.
    pub drifting: bool,
}

/// The fleet as the reports show it.
pub(crate) struct FleetView<'a> {
    /// Whether a majority of the proxies reports, and has for the grace time.
    pub reliable: bool,
    /// All proxies that report.
    pub proxies: Vec<LiveProxy<'a>>,
}

/// What a rollout does next.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RolloutStep {
    /// Nothing yet.
    Wait {
        /// What it waits for, as operators read it.
        reason: String,
    },
    /// The table goes to these members: a wider stage, or the same one with silent members replaced.
    Assign {
        /// The stage from now on.
        stage: Stage,
        /// All members of the stage; for [`Stage::All`] every proxy counts besides.
        members: BTreeSet<String>,
    },
    /// The last stage has passed: the table is in force.
    Complete,
    /// The rollout ends. The last good weights go out again, unless no proxy was given the table yet or
    /// proxies have revisions that this registry never issued.
    Stop {
        /// Why, as operators read it.
        reason: String,
    },
}
