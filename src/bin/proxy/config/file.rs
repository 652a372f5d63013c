//! What the configuration file may hold.

use crate::recorder;
use load_balancer::client::discovery::PollBackoff;
use load_balancer::client::list::ListPage;
use load_balancer::client::{membership, route_table};
use serde::Deserialize;

/// The platform's file has keys that nothing here needs; they are passed over.
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

/// The operators' own file: a key that is not known is a slip of the pen.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct OwnFile {
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

/// One address, several parted by commas, or a list of them.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum Addresses {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
pub(super) struct Limits {
    pub(super) sockets: usize,
    pub(super) memory_mb: usize,
}

/// When a list is too bad to be believed at once.
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
