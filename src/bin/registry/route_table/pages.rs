//! The pages that operators read, as JSON.

use load_balancer::route_table::{DriftPage, StatePage};
use serde::Serialize;
use serde_json::Value;

/// The page of the table's state. The order of fields is that of the JSON keys.
#[derive(Serialize)]
pub(crate) struct RoutesPage {
    /// The state.
    #[serde(flatten)]
    pub(super) state: StatePage,
    /// The present evaluation, if one runs.
    #[serde(rename = "judging")]
    pub(super) evaluation: Option<Value>,
}

/// The page of the findings. The order of fields is that of the JSON keys.
#[derive(Serialize)]
pub(crate) struct FindingsPage {
    /// The version of the findings.
    pub(super) version: u64,
    /// The drift of the fleet.
    #[serde(flatten)]
    pub(super) drift: DriftPage,
}
