//! Keys of the configuration file, in its two formats.
//!
//! Field names are the keys of the file. Parsers put type names into error messages, so a renamed type changes them.

use crate::recorder;
use load_balancer::client::discovery::PollBackoff;
use load_balancer::client::list::ListPage;
use load_balancer::client::{membership, route_table};
use serde::Deserialize;

/// JSON file of the platform. Unknown keys are ignored, as the file has keys that the proxy does not need.
#[derive(Deserialize)]
pub(super) struct File {
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<Addresses>,
    pub(super) service: Option<String>,
    pub(super) ops: Option<String>,
    pub(super) seed: String,
    pub(super) limits: Limits,
    pub(super) known: Option<ListPage>,
    pub(super) settings: serde_json::Value,
    pub(super) list_guard: Option<Guard>,
    pub(super) discovery_backoff: Option<PollBackoff>,
    pub(super) membership: Option<membership::Settings>,
    pub(super) routes: Option<route_table::Settings>,
    pub(super) record: Option<recorder::Settings>,
}

/// TOML file of an operator. Unknown keys are rejected, as they are probably typing errors.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OperatorFile {
    pub(super) listen: Option<String>,
    pub(super) discovery: Option<Addresses>,
    pub(super) service: Option<String>,
    pub(super) ops: Option<String>,
    pub(super) seed: Option<String>,
    pub(super) limits: Limits,
    pub(super) settings: serde_json::Value,
    #[serde(default)]
    pub(super) list_guard: Guard,
    #[serde(default)]
    pub(super) discovery_backoff: PollBackoff,
    pub(super) membership: Option<membership::Settings>,
    pub(super) routes: Option<route_table::Settings>,
    pub(super) record: Option<recorder::Settings>,
}

/// Addresses as text: one, several separated by commas, or a list.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum Addresses {
    One(String),
    Many(Vec<String>),
}

/// Resources that the process may use.
#[derive(Deserialize)]
pub(super) struct Limits {
    pub(super) sockets: usize,
    pub(super) memory_mb: usize,
}

/// Settings of the list guard, which withholds removals in an endpoint list until they are confirmed.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Guard {
    pub(super) panic_threshold: f64,
    pub(super) hold_ms: f64,
}

impl Default for Guard {
    fn default() -> Self {
        Guard { panic_threshold: 0.1, hold_ms: 30_000.0 }
    }
}
