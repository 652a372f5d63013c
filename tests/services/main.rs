//! Services in the registry as a process: each has its own list, versions, watches and TTLs.

mod data;
mod entries;
mod kills;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
#[path = "../waits/mod.rs"]
mod waits;

use registry_rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Long enough not to lapse in a test.
const LONG_TTL_MS: u64 = 600_000;

fn dial() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("address")
}

/// The path of a service's list; that of no name for the empty one.
fn path(service: &str) -> String {
    if service.is_empty() {
        "/registry/instances".into()
    } else {
        format!("/registry/instances?service={service}")
    }
}

/// Registers a host with a health; the answer's version.
async fn put(registry: &Registry, service: &str, host: &str, health: &str) -> u64 {
    put_for(registry, service, host, health, LONG_TTL_MS).await
}

async fn put_for(registry: &Registry, service: &str, host: &str, health: &str, ttl_ms: u64) -> u64 {
    let body = json!({"ttl_ms": ttl_ms, "hosts": [entry(host, dial(), health)]}).to_string();
    let (status, text) = registry.call("PUT", &path(service), &body).await;
    assert_eq!(status, 200, "{text}");
    version(&serde_json::from_str(&text).expect("json"))
}

fn version(page: &Value) -> u64 {
    page["seq"].as_u64().expect("seq")
}

async fn list(registry: &Registry, service: &str) -> Value {
    let (status, text) = registry.call("GET", &path(service), "").await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("json")
}

/// A watch's answer.
async fn watch(address: SocketAddr, service: &str, after: u64, wait_ms: u64) -> Value {
    let sign = if service.is_empty() { '?' } else { '&' };
    let path = format!("{}{sign}after={after}&wait_ms={wait_ms}", path(service));
    let (status, text) = call(address, "GET", &path, Vec::new()).await.expect("answered");
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("json")
}
