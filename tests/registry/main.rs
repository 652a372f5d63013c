//! The registry as a process: durability across kills and torn writes, limits, TTLs, watches and malformed input.

mod durability;
mod limits;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
mod service;
#[path = "../waits/mod.rs"]
mod waits;

use serde_json::Value;
use std::net::SocketAddr;

/// Path of the list of the unnamed service.
const LIST_PATH: &str = "/registry/instances";

fn dial() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("a valid socket address")
}

fn version(page: &Value) -> u64 {
    page["seq"].as_u64().expect("seq is a number")
}
