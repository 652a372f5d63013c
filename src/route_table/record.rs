//! What is durable of the route table: one record holds all of it, so that the newest one is enough to go on from.

use super::{OutcomeCounts, Revision, Table, Weights};
use crate::replay::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Revisions of which the digest is remembered, newest last.
pub const MAX_KNOWN: usize = 64;
/// Ended proposals that are remembered, newest last.
pub const MAX_PAST: usize = 16;

/// The whole state after a change. A later one goes before all earlier ones; met twice, it changes nothing.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// Counts the changes, from Unix time in milliseconds on.
    pub change: u64,
    /// The change that last altered which table anybody is to have: what watches compare.
    pub version: u64,
    /// The highest revision ever given.
    #[serde(rename = "last")]
    pub highest_revision: Revision,
    /// The last good table: what all have who are not in a rollout's stage.
    pub in_force: Table,
    /// What was given out: revision and digest.
    #[serde(rename = "known")]
    pub issued: Vec<IssuedRevision>,
    /// The proposal in work, if any.
    #[serde(rename = "work")]
    pub active: Option<ActiveProposal>,
    /// How earlier ones ended.
    #[serde(rename = "past")]
    pub ended: Vec<EndedProposal>,
}

impl RouteRecord {
    /// Before the first proposal: revision 0, every weight 1.
    pub fn empty() -> Self {
        let digest = Weights::default().digest();
        let known = vec![IssuedRevision { revision: 0, digest: digest.clone() }];
        let in_force = Table { digest, ..Table::default() };
        RouteRecord {
            change: 0,
            version: 0,
            highest_revision: 0,
            in_force,
            issued: known,
            active: None,
            ended: Vec::new(),
        }
    }

    /// The table that a proxy is to have.
    pub fn target_table(&self, name: &str) -> &Table {
        let given = |rollout: &&Rollout| rollout.stage == Stage::All || rollout.members.contains(name);
        match &self.active {
            Some(ActiveProposal { table, rollout, .. }) if rollout.as_ref().filter(given).is_some() => table,
            _ => &self.in_force,
        }
    }

    /// Which verdict is awaited: revision, and digest of the list.
    pub(super) fn awaited(&self) -> Option<(Revision, &str)> {
        let work = self.active.as_ref().filter(|work| work.admission == Admission::Awaited)?;
        Some((work.table.revision, &work.list_digest))
    }
}

/// A revision that went out.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct IssuedRevision {
    /// Its number.
    pub revision: Revision,
    /// Digest of its weights.
    pub digest: String,
}

/// A proposal that was taken and has not ended.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ActiveProposal {
    /// Its table.
    pub table: Table,
    /// By what it may go out.
    #[serde(rename = "admitted")]
    pub admission: Admission,
    /// [`super::list_digest`] of the backends it was checked against.
    #[serde(rename = "list")]
    pub list_digest: String,
    /// The replay's verdict, if it has one.
    pub verdict: Option<Verdict>,
    /// Its rollout, once that has begun.
    pub rollout: Option<Rollout>,
}

/// By what a table may go out.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "by")]
pub enum Admission {
    /// Nothing yet: its verdict is awaited.
    Awaited,
    /// The replay's verdict.
    Verdict,
    /// An operator, whatever a replay says.
    Override {
        /// Why.
        why: String,
    },
    /// The configuration does not ask for verdicts.
    Unjudged,
}

/// How far a table has gone out.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Rollout {
    /// To how many.
    pub stage: Stage,
    /// To whom: those who are to have it, before the last stage. Empty until the fleet is known.
    pub members: BTreeSet<String>,
    /// What those met before who were given it since.
    #[serde(rename = "own")]
    pub member_baseline: OutcomeCounts,
    /// What the fleet without it met before, to compare with where too few are left without.
    #[serde(rename = "before")]
    pub fleet_baseline: OutcomeCounts,
    /// When it began, Unix time in milliseconds.
    pub began_ms: u64,
    /// When the stage began.
    #[serde(rename = "stage_ms")]
    pub stage_began_ms: u64,
}

/// The stages of a rollout.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The first few by rank.
    Few,
    /// A tenth.
    Tenth,
    /// Half.
    Half,
    /// All, also those that nobody knows of.
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
    /// When it was taken.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
    /// By what it could go out.
    #[serde(rename = "admitted")]
    pub admission: Admission,
    /// Its verdict, without the predictions.
    pub verdict: Option<Verdict>,
    /// When it ended.
    pub ended_ms: u64,
    /// How.
    pub end: ProposalOutcome,
}

/// How a proposal ended.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "end")]
pub enum ProposalOutcome {
    /// All have it: it is in force.
    Done,
    /// The rollout stopped.
    Stopped {
        /// At which stage.
        stage: Stage,
        /// Why, and what to do.
        why: String,
        /// The revision by which the last good weights went out, if anybody had been given others.
        #[serde(rename = "back")]
        rollback_revision: Option<Revision>,
    },
    /// The verdict was `refuse`.
    Refused,
    /// The verdict was `cannot_tell`.
    CannotTell,
    /// What it was made from has moved on.
    Lapsed {
        /// Why, and what to do.
        why: String,
    },
}
