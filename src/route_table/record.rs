//! What is durable of the route table. One record holds the complete state, so that the newest record of the
//! log is enough to resume from, and a log that ends between two writes never holds half of a decision.
//!
//! The registry writes records as JSON: the serialized names of fields and variants are a contract with
//! stored data and with readers of the state page; where a field has another name here, `serde(rename)` keeps
//! it.

use super::{OutcomeCounts, Revision, Table, Weights};
use crate::replay::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Issued revisions whose digest is remembered, the newest ones.
const MAX_ISSUED: usize = 64;
/// Ended proposals that are remembered, the newest ones.
const MAX_ENDED: usize = 16;

/// The complete state after a change. A record replaces all with a lower `change`.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// Number of the change: Unix time in milliseconds, or one above the last where that is higher.
    pub change: u64,
    /// The change that last altered which table any proxy should have: what watches compare.
    pub version: u64,
    /// The highest revision ever issued.
    #[serde(rename = "last")]
    pub highest_revision: Revision,
    /// The last good table: that of all proxies that no stage of a rollout includes.
    pub in_force: Table,
    /// The newest issued revisions with their digests, newest last.
    #[serde(rename = "known")]
    pub issued: Vec<IssuedRevision>,
    /// The proposal that has not ended, if there is one.
    #[serde(rename = "work")]
    pub active: Option<ActiveProposal>,
    /// The newest ended proposals, newest last.
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

    /// The evaluation that is awaited: revision of the proposal, and digest of the list it is evaluated for.
    pub(super) fn awaited_evaluation(&self) -> Option<(Revision, &str)> {
        let active = self.active.as_ref().filter(|active| active.admission == Admission::Awaited)?;
        Some((active.table.revision, &active.list_digest))
    }

    /// What identifies a stage with its members: a record with another one starts the stage's counts again.
    /// Members are only ever added within a stage, so their number is enough.
    pub(super) fn stage_key(&self) -> Option<(Revision, Stage, usize)> {
        let active = self.active.as_ref()?;
        let rollout = active.rollout.as_ref()?;
        Some((active.table.revision, rollout.stage, rollout.members.len()))
    }

    /// Adds an issued revision; the oldest ones are dropped.
    pub(super) fn remember_issued(&mut self, revision: Revision, digest: String) {
        self.issued.push(IssuedRevision { revision, digest });
        let surplus = self.issued.len().saturating_sub(MAX_ISSUED);
        self.issued.drain(..surplus);
    }

    /// Moves the active proposal, if there is one, to the ended ones.
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

/// A revision that was issued: proxies were, or could have been, given its table.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct IssuedRevision {
    /// Its number.
    pub revision: Revision,
    /// Digest of its weights.
    pub digest: String,
}

/// A proposal that was accepted and has not ended.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ActiveProposal {
    /// Its table.
    pub table: Table,
    /// By what it may be rolled out.
    #[serde(rename = "admitted")]
    pub admission: Admission,
    /// [`super::list_digest`] of the backends that it was checked against.
    #[serde(rename = "list")]
    pub list_digest: String,
    /// The replay's verdict, if it has one.
    pub verdict: Option<Verdict>,
    /// Its rollout, once it is admitted.
    pub rollout: Option<Rollout>,
}

/// By what a proposal may be rolled out.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "by")]
pub enum Admission {
    /// Nothing yet: the verdict of its replay is awaited.
    Awaited,
    /// The replay's verdict.
    Verdict,
    /// An operator, without a verdict.
    Override {
        /// The reason that the operator gave.
        why: String,
    },
    /// The configuration requires no verdict (`judge = false`).
    Unjudged,
}

/// The durable state of a rollout.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Rollout {
    /// The stage that it is in.
    pub stage: Stage,
    /// Names of the proxies that should have the table; in [`Stage::All`] every other one should too. Empty
    /// until the first review.
    pub members: BTreeSet<String>,
    /// Counts of the members over the last minute before they got the table.
    #[serde(rename = "own")]
    pub member_baseline: OutcomeCounts,
    /// Counts of proxies without the table, from the stage before or from the minute before the rollout:
    /// compared with where too few proxies are left without the table.
    #[serde(rename = "before")]
    pub fleet_baseline: OutcomeCounts,
    /// When the rollout began, Unix time in milliseconds.
    pub began_ms: u64,
    /// When the stage began, Unix time in milliseconds.
    #[serde(rename = "stage_ms")]
    pub stage_began_ms: u64,
}

/// The stages of a rollout, in order; [`super::stage_size`] is the number of proxies of each.
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
    /// Its revision.
    pub revision: Revision,
    /// The table it was made from.
    pub from: Revision,
    /// Who proposed it.
    pub by: String,
    /// When it was accepted, Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
    /// By what it could be rolled out.
    #[serde(rename = "admitted")]
    pub admission: Admission,
    /// Its verdict, without the predictions.
    pub verdict: Option<Verdict>,
    /// When it ended, Unix time in milliseconds.
    pub ended_ms: u64,
    /// How it ended.
    pub end: ProposalOutcome,
}

/// How a proposal ended. `Done` and `Stopped` end a rollout, the others a proposal before its rollout.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum ProposalOutcome {
    /// All proxies have it: it is the table in force.
    Done,
    /// The rollout was stopped, see `rollout` for the causes.
    Stopped {
        /// The stage that it was in.
        stage: Stage,
        /// Why, and what an operator can do.
        why: String,
        /// The revision by which the last good weights were issued again, if they were.
        #[serde(rename = "back")]
        rollback_revision: Option<Revision>,
    },
    /// The verdict was `refuse`.
    Refused,
    /// The verdict was `cannot_tell`.
    CannotTell,
    /// It was overtaken, got no verdict in time, or became invalid for another list of backends.
    Lapsed {
        /// Why, and what an operator can do.
        why: String,
    },
}
