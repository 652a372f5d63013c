//! What a replay says of a proposal.

use crate::route_table::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A predicted figure, with the interval that the seeds and the model's uncertainty give.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq)]
pub struct Range {
    /// Lower end.
    pub low: f64,
    /// Mean over the seeds.
    pub mean: f64,
    /// Upper end.
    pub high: f64,
}

/// What one backend gets.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendFigures {
    /// Share of all calls.
    pub share: Range,
    /// Most calls in flight there, of the whole fleet.
    pub peak: Range,
}

/// What the requests of one class meet.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassFigures {
    /// Median latency, ms.
    pub p50_ms: Range,
    /// 99th percentile, ms.
    pub p99_ms: Range,
    /// Share refused.
    pub refused: Range,
    /// Share failed.
    pub failed: Range,
}

/// What a table would do.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Prediction {
    /// By backend.
    pub backends: BTreeMap<String, BackendFigures>,
    /// By class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Share of calls that cross zones.
    pub crossings: Range,
}

/// What a proposal would break.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Breach {
    /// `backend` or `class`.
    pub kind: String,
    /// Which.
    pub name: String,
    /// Which figure, such as `peak` or `p99_ms`.
    pub figure: String,
    /// Predicted.
    pub predicted: f64,
    /// The bound that it breaks.
    pub bound: f64,
}

/// Why nothing can be said. Each is told with what an operator can do.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum Unsure {
    /// Too few of the fleet's requests were recorded.
    Coverage {
        /// Share of the fleet's requests of which there are records, or that the sampling stands for.
        covered: f64,
        /// Share that is needed.
        needed: f64,
    },
    /// The newest record is older than that.
    Old {
        /// Its age.
        age_ms: f64,
        /// What is allowed.
        most_ms: f64,
    },
    /// The recorded backends are not those of the list.
    OtherList {
        /// Backends of one that the other lacks.
        differ: Vec<String>,
    },
    /// A backend would get more than was ever seen there.
    Unseen {
        /// Which.
        backend: String,
        /// Calls in flight predicted.
        predicted: f64,
        /// Most that were seen.
        seen: f64,
    },
    /// The model does not give back what was recorded.
    BackTest {
        /// Which figure, such as `share of s3`.
        figure: String,
        /// Recorded.
        recorded: f64,
        /// Replayed.
        replayed: f64,
        /// Difference that is allowed.
        allowed: f64,
    },
}

/// The decision.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// It may go out.
    Admit,
    /// It may not.
    Refuse {
        /// What breaks first.
        breach: Breach,
        /// The largest part of the way from the table in force that would pass, 0 to 1.
        largest_step: f64,
    },
    /// Nothing can be said.
    CannotTell(Unsure),
}

/// The whole answer. It lapses when the table in force, the proposal or the list of backends moves on.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The table in force.
    pub from: Revision,
    /// Digest of the proposal's weights.
    pub digest: String,
    /// Digest of the records that it was made from, and of the version of the list.
    pub records: String,
    /// Recorded requests replayed.
    pub requests: u64,
    /// What it says.
    #[serde(flatten)]
    pub decision: Decision,
    /// The table in force, replayed.
    pub in_force: Option<Prediction>,
    /// The proposal, replayed.
    pub proposed: Option<Prediction>,
}
