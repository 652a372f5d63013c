//! The durable state of the route table. One record holds the complete state, so that the newest record of
//! the log is enough to resume from, and a log that ends between two writes never holds half of a decision.
//!
//! The registry writes records as JSON: the serialized names of fields and variants are a contract with
//! stored data and with readers of the state page; where a field has another name here, `serde(rename)` keeps
//! it.

use super::{OutcomeCounts, Revision, Table, Weights};
use crate::replay::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Number of issued revisions that a record keeps with their digests, the newest ones.
const MAX_ISSUED: usize = 64;
/// Number of ended proposals that a record keeps, the newest ones.
const MAX_ENDED: usize = 16;

/// The complete state of the route table after a change. A record replaces all records with a lower `change`.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// Number of the change: Unix time in milliseconds, or the previous number plus 1 where that is higher.
    pub change: u64,
    /// Number of the last change that gave some proxy another target table. Watches compare it.
    pub version: u64,
    /// Highest revision ever issued.
    #[serde(rename = "last")]
    pub highest_revision: Revision,
    /// Last good table: the target of all proxies that no stage of a rollout includes.
    pub in_force: Table,
    /// Newest issued revisions with their digests, newest last.
    #[serde(rename = "known")]
    pub issued: Vec<IssuedRevision>,
    /// Proposal that has not ended, if there is one.
    #[serde(rename = "work")]
    pub active: Option<ActiveProposal>,
    /// Newest ended proposals, newest last.
    #[serde(rename = "past")]
    pub ended: Vec<EndedProposal>,
}

impl RouteRecord {
    /// The state before the first proposal: revision 0, every weight 1.
    pub fn empty() -> Self {
        let digest = Weights::default().digest();
        RouteRecord {
            change: 0,
            version: 0,
            highest_revision: 0,
            in_force: Table { digest: digest.clone(), ..Table::default() },
            issued: vec![IssuedRevision { revision: 0, digest }],
            active: None,
            ended: Vec::new(),
        }
    }

    /// The table that a proxy should have: the one rolled out if its stage includes the proxy, else the one
    /// in force.
    pub fn target_table(&self, name: &str) -> &Table {
        let includes = |rollout: &Rollout| rollout.stage == Stage::All || rollout.members.contains(name);
        match &self.active {
            Some(ActiveProposal { table, rollout: Some(rollout), .. }) if includes(rollout) => table,
            _ => &self.in_force,
        }
    }

    /// Key of the awaited evaluation: the revision of the proposal, and the digest of the list of backends
    /// that it is evaluated for.
    pub(super) fn awaited_evaluation(&self) -> Option<(Revision, &str)> {
        let active = self.active.as_ref().filter(|active| active.admission == Admission::Awaited)?;
        Some((active.table.revision, &active.list_digest))
    }

    /// Key of a stage with its members. A record with another key restarts the stage's counts. Members are
    /// only added within a stage, so their number is enough to identify them.
    pub(super) fn stage_key(&self) -> Option<(Revision, Stage, usize)> {
        let active = self.active.as_ref()?;
        let rollout = active.rollout.as_ref()?;
        Some((active.table.revision, rollout.stage, rollout.members.len()))
    }

    /// Adds an issued revision, and drops the oldest ones past [`MAX_ISSUED`].
    pub(super) fn remember_issued(&mut self, revision: Revision, digest: String) {
        self.issued.push(IssuedRevision { revision, digest });
        let surplus = self.issued.len().saturating_sub(MAX_ISSUED);
        self.issued.drain(..surplus);
    }

    /// Moves the active proposal, if there is one, to the ended ones, and drops the oldest past
    /// [`MAX_ENDED`].
    ///
    /// The predictions of its verdict are dropped: they take far more space than the rest of the record.
    pub(super) fn end_active(&mut self, now_ms: u64, end: ProposalOutcome) {
        let Some(active) = self.active.take() else { return };
        let Table { revision, from, by, accepted_ms, .. } = active.table;
        let without_predictions = |verdict| Verdict { in_force: None, proposed: None, ..verdict };
        self.ended.push(EndedProposal {
            revision,
            from,
            by,
            accepted_ms,
            admission: active.admission,
            verdict: active.verdict.map(without_predictions),
            ended_ms: now_ms,
            end,
        });
        let surplus = self.ended.len().saturating_sub(MAX_ENDED);
        self.ended.drain(..surplus);
    }
}

/// An issued revision: proxies have received its table or could have.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct IssuedRevision {
    /// Number of the revision.
    pub revision: Revision,
    /// Digest of the revision's weights.
    pub digest: String,
}

/// A proposal that was accepted and has not ended.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ActiveProposal {
    /// Proposed table.
    pub table: Table,
    /// Grounds on which the proposal may be rolled out.
    #[serde(rename = "admitted")]
    pub admission: Admission,
    /// [`super::list_digest`] of the backends that the proposal was checked against.
    #[serde(rename = "list")]
    pub list_digest: String,
    /// Verdict of the replay, once there is one.
    pub verdict: Option<Verdict>,
    /// Rollout of the proposal, once it is admitted.
    pub rollout: Option<Rollout>,
}

/// The grounds on which a proposal may be rolled out.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "by")]
pub enum Admission {
    /// The proposal is not admitted yet: the verdict of its replay is awaited.
    Awaited,
    /// The verdict of the replay admitted the proposal.
    Verdict,
    /// An operator admitted the proposal without a verdict.
    Override {
        /// Reason that the operator gave.
        why: String,
    },
    /// The configuration requires no verdict (`judge = false`).
    Unjudged,
}

/// The durable state of a rollout.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Rollout {
    /// Current stage.
    pub stage: Stage,
    /// Names of the proxies that should have the table; in [`Stage::All`] every other proxy should have it
    /// too. Empty until the first review.
    pub members: BTreeSet<String>,
    /// Counts of the members over the last minute before they got the table.
    #[serde(rename = "own")]
    pub member_baseline: OutcomeCounts,
    /// Counts of proxies without the table, from the previous stage or from the minute before the rollout.
    /// They are the reference where too few proxies are left without the table.
    #[serde(rename = "before")]
    pub fleet_baseline: OutcomeCounts,
    /// Start of the rollout, Unix time in milliseconds.
    pub began_ms: u64,
    /// Start of the current stage, Unix time in milliseconds.
    #[serde(rename = "stage_ms")]
    pub stage_began_ms: u64,
}

/// The stages of a rollout, in order; [`super::stage_size`] gives the number of proxies of each.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The first few proxies in rank.
    Few,
    /// A tenth of the live proxies.
    Tenth,
    /// Half of the live proxies.
    Half,
    /// All proxies, also those that the registry does not know.
    All,
}

/// A proposal that has ended.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct EndedProposal {
    /// Revision of the proposed table.
    pub revision: Revision,
    /// Revision that the proposal was made from.
    pub from: Revision,
    /// Name of the proposer.
    pub by: String,
    /// Time at which the proposal was accepted, Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
    /// Grounds on which the proposal could be rolled out.
    #[serde(rename = "admitted")]
    pub admission: Admission,
    /// Verdict of the replay, without its predictions.
    pub verdict: Option<Verdict>,
    /// Time at which the proposal ended, Unix time in milliseconds.
    pub ended_ms: u64,
    /// Outcome of the proposal.
    pub end: ProposalOutcome,
}

/// The outcome of a proposal. `Done` and `Stopped` end a rollout; the others end a proposal before its
/// rollout.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum ProposalOutcome {
    /// The rollout completed: the proposed table is the table in force.
    Done,
    /// The rollout was stopped; the module `rollout` lists the causes.
    Stopped {
        /// Stage in which the rollout was stopped.
        stage: Stage,
        /// Cause, and what an operator can do.
        why: String,
        /// Revision under which the last good weights were reissued, if they were.
        #[serde(rename = "back")]
        rollback_revision: Option<Revision>,
    },
    /// The verdict of the replay was `refuse`.
    Refused,
    /// The verdict of the replay was `cannot_tell`.
    CannotTell,
    /// The proposal was superseded, got no verdict in time, or became invalid when the list of backends
    /// changed.
    Lapsed {
        /// Cause, and what an operator can do.
        why: String,
    },
}
