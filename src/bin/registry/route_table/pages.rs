//! The pages that operators read, as JSON.

use load_balancer::route_table::{DriftPage, StatePage};
use serde::Serialize;
use serde_json::Value;

/// The page of the table's state. The order of fields is that of the JSON keys.
#[derive(Serialize)]
pub(crate) struct RoutesPage {
    /// State of the table and its proposals.
    #[serde(flatten)]
    pub(super) state: StatePage,
    /// Current evaluation, if there is one.
    #[serde(rename = "judging")]
    pub(super) evaluation: Option<Value>,
}

/// The page of the drift findings. The order of fields is that of the JSON keys.
#[derive(Serialize)]
pub(crate) struct FindingsPage {
    /// Version of the findings, which watches compare.
    pub(super) version: u64,
    /// Drift of the fleet.
    #[serde(flatten)]
    pub(super) drift: DriftPage,
}
