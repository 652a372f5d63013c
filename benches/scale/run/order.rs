//! What the driver orders of a worker, and what it answers: one answer for each order.

use super::traffic::Traffic;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// A proxy and the agent that registers its backend.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProxyPlan {
    /// Its number in the fleet.
    pub number: usize,
    /// Whether the proxy is a real one, elsewhere, so that only its agent runs here.
    pub real: bool,
    /// The service that it asks for; none where the registry knows no services.
    pub service: Option<String>,
    /// Proxies that send to the same backends.
    pub peers: usize,
    /// Its zone.
    pub zone: String,
    /// Where it finds the registry.
    pub registry: SocketAddr,
    /// Where its backend's agent finds it.
    pub agent_registry: SocketAddr,
    /// The backend's entry.
    pub entry: Value,
    /// How long the entry lives without renewal.
    pub ttl_ms: u64,
    /// How often it reports.
    pub report_ms: u64,
    /// Whether the backend is registered at once; else somebody has done so, and it is renewed in time.
    pub fresh: bool,
}

/// The truth of one service: its name, and the sum over its entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Truth {
    /// The service.
    pub service: Option<String>,
    /// See [`Entries`](super::entries::Entries).
    pub sum: u64,
}

/// An order.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Starts proxies with their agents.
    Start(Vec<ProxyPlan>),
    /// Ends these at once, as kill -9 does.
    Stop(Vec<usize>),
    /// Who holds these lists.
    HoldLists(Vec<Truth>),
    /// Who has this route table in force.
    HoldTable(u64),
    /// How many lists, and changes of lists, each has taken.
    ListsTaken,
    /// What all have sent and received.
    Traffic,
}

/// An answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// It is done.
    Done,
    /// Since when proxies hold what was asked for, Unix time in microseconds, by number.
    Since(Vec<(usize, Option<u64>)>),
    /// So many for each number.
    Counts(Vec<(usize, u64)>),
    /// What all have sent and received.
    Traffic(Traffic),
}
