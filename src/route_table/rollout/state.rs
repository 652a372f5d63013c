//! The input of a rollout's review besides the record, and its result.

use super::super::{OutcomeCounts, Stage};
use std::collections::BTreeSet;

/// The counts of the current stage. They are kept in memory only.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageProgress {
    /// Start of counting, Unix time in milliseconds: the last change of the stage or its members, the start
    /// of the registry, or the end of a pause of the registry itself.
    pub since_ms: u64,
    /// Counts reported by proxies that have the new table.
    pub with_table: OutcomeCounts,
    /// Counts reported by proxies that do not have the new table.
    pub without_table: OutcomeCounts,
    /// Condition that the stage waits for, shown on the state page.
    pub waiting_for: Option<String>,
}

impl StageProgress {
    /// Creates empty counts that start at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        StageProgress { since_ms: now_ms, ..StageProgress::default() }
    }
}

/// A proxy that currently reports.
#[derive(Clone, Debug)]
pub(crate) struct LiveProxy<'a> {
    /// Name of the proxy.
    pub name: &'a str,
    /// Whether the proxy's newest report has the revision and digest of the table of this rollout.
    pub has_table: bool,
    /// Whether `diverged` or `effect` holds for the proxy and began after the rollout did.
    pub drifting: bool,
}

/// The state of the fleet according to the proxies' reports.
pub(crate) struct FleetView<'a> {
    /// Whether a majority of the proxies reports and the grace time is over.
    pub reliable: bool,
    /// Proxies that currently report.
    pub proxies: Vec<LiveProxy<'a>>,
}

/// The next step of a rollout.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RolloutStep {
    /// The stage stays as it is.
    Wait {
        /// Condition that the stage waits for, as text for operators.
        reason: String,
    },
    /// The table is assigned to these members: a wider stage, or the same stage with silent members replaced.
    Assign {
        /// Stage to enter or stay in.
        stage: Stage,
        /// Names of all members of the stage. In [`Stage::All`] every other proxy is a member too.
        members: BTreeSet<String>,
    },
    /// The last stage has passed: the table goes into force.
    Complete,
    /// The rollout ends. The last good weights are reissued, unless no proxy was given the table yet or
    /// proxies have revisions that this registry never issued.
    Stop {
        /// Cause, as text for operators.
        reason: String,
    },
}
