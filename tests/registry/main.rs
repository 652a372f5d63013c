//! The registry as a process: durable versions through kill -9 and torn writes, TTLs, watches, bad input.

mod durability;
mod limits;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
mod service;
#[path = "../waits/mod.rs"]
mod waits;

use std::net::SocketAddr;

fn dial() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("address")
}
