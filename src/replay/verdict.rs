//! The verdict on a proposed route table: the decision and the predicted figures.

use crate::route_table::Revision;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A predicted figure, with the interval that the seeds and the model's uncertainty give.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq)]
pub struct Range {
    /// Lower end of the interval.
    pub low: f64,
    /// Mean over the seeds.
    pub mean: f64,
    /// Upper end of the interval.
    pub high: f64,
}

/// Figures predicted for one backend.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendFigures {
    /// Share of all calls that go to the backend, 0 to 1.
    pub share: Range,
    /// Maximum number of the whole fleet's calls in flight at the backend.
    pub peak: Range,
}

/// Figures predicted for the requests of one class.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassFigures {
    /// Median latency of served requests, ms.
    pub p50_ms: Range,
    /// 99th percentile of the latency of served requests, ms.
    pub p99_ms: Range,
    /// Share of the class's requests that are refused, 0 to 1.
    pub refused: Range,
    /// Share of the class's requests that fail, 0 to 1.
    pub failed: Range,
}

/// Figures predicted for the recorded traffic under one route table.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct Prediction {
    /// Figures by name of the backend.
    pub backends: BTreeMap<String, BackendFigures>,
    /// Figures by name of the class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Share of all calls that cross zones, 0 to 1.
    pub crossings: Range,
}

/// A bound that a proposal would break.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Breach {
    /// Kind of object that the figure belongs to: `backend` or `class`.
    pub kind: String,
    /// Name of the backend or class.
    pub name: String,
    /// Name of the figure, such as `peak` or `p99_ms`.
    pub figure: String,
    /// Predicted value of the figure.
    pub predicted: f64,
    /// Bound that the predicted value exceeds.
    pub bound: f64,
}

/// Why no decision on a proposal is possible.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum CannotTellReason {
    /// Too little of the fleet's traffic was recorded.
    Coverage {
        /// Share of the fleet's recording time for which there are records, less dropped traces, 0 to 1; 0 where there
        /// are too few requests.
        covered: f64,
        /// Minimum share, from the bounds.
        needed: f64,
    },
    /// The newest record is too old.
    #[serde(rename = "old")]
    Stale {
        /// Age of the newest record, ms.
        age_ms: f64,
        /// Maximum age from the bounds, ms.
        #[serde(rename = "most_ms")]
        max_age_ms: f64,
    },
    /// The recorded backends are not those of the list in force.
    #[serde(rename = "other_list")]
    ListMismatch {
        /// Names of the backends that one of both lacks or has with other attributes.
        #[serde(rename = "differ")]
        differing_backends: Vec<String>,
    },
    /// A backend would get clearly more calls in flight than were ever observed there.
    #[serde(rename = "unseen")]
    Extrapolation {
        /// Name of the backend.
        backend: String,
        /// Predicted peak of calls in flight.
        predicted: f64,
        /// Peak of calls in flight that was recorded, or replayed under the table in force.
        #[serde(rename = "seen")]
        observed: f64,
    },
    /// The back-test failed: the table in force, replayed, does not reproduce the records.
    BackTest {
        /// Name of the figure that deviates most, such as `share of s3`.
        figure: String,
        /// Value of the figure in the records.
        recorded: f64,
        /// Value of the figure in the replay.
        replayed: f64,
        /// Maximum difference between both.
        allowed: f64,
    },
}

/// The decision on a proposal.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// The proposal may be rolled out.
    Admit,
    /// The proposal breaks a bound.
    Refuse {
        /// The bound that is exceeded by the largest factor; backends come before classes.
        breach: Breach,
        /// The largest share of the way from the table in force to the proposal that would be admitted, 0 to 1.
        largest_step: f64,
    },
    /// The records or the model do not suffice for a decision.
    CannotTell(CannotTellReason),
}

/// The verdict on a proposal. It no longer applies once the table in force, the proposal or the endpoint list changes.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Revision of the table in force.
    pub from: Revision,
    /// Digest of the proposal's weights.
    pub digest: String,
    /// Digest of the segments that were replayed and of the list's version.
    pub records: String,
    /// Number of recorded requests that were replayed.
    pub requests: u64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
    /// Figures predicted under the table in force, if it was replayed.
    pub in_force: Option<Prediction>,
    /// Figures predicted under the proposal, if it was replayed.
    pub proposed: Option<Prediction>,
}
