//! Several services in one registry process: each has its own list, versions, watches and TTLs.

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

/// A TTL that does not expire during a test, in milliseconds.
const LONG_TTL_MS: u64 = 600_000;

fn dial() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("a valid socket address")
}

/// Returns the path of a service's list; the empty name is that of the unnamed service.
fn list_path(service: &str) -> String {
    if service.is_empty() {
        "/registry/instances".into()
    } else {
        format!("/registry/instances?service={service}")
    }
}

/// Returns the path and query of a watch of a service.
fn watch_path(service: &str, after: u64, wait_ms: u64) -> String {
    let separator = if service.is_empty() { '?' } else { '&' };
    format!("{}{separator}after={after}&wait_ms={wait_ms}", list_path(service))
}

/// Registers a host with [`LONG_TTL_MS`], and returns the version of the answer.
async fn put(registry: &Registry, service: &str, host: &str, health: &str) -> u64 {
    put_with_ttl(registry, service, host, health, LONG_TTL_MS).await
}

/// Registers a host with a TTL, and returns the version of the answer.
async fn put_with_ttl(registry: &Registry, service: &str, host: &str, health: &str, ttl_ms: u64) -> u64 {
    let body = json!({"ttl_ms": ttl_ms, "hosts": [entry(host, dial(), health)]}).to_string();
    let (status, text) = registry.call("PUT", &list_path(service), &body).await;
    assert_eq!(status, 200, "{text}");
    version(&serde_json::from_str(&text).expect("the answer is JSON"))
}

fn version(page: &Value) -> u64 {
    page["seq"].as_u64().expect("seq is a number")
}

/// Reads the full list of a service.
async fn list(registry: &Registry, service: &str) -> Value {
    let (status, text) = registry.call("GET", &list_path(service), "").await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("the answer is JSON")
}

/// Waits for changes of a service after a version, and returns the answer.
async fn watch(address: SocketAddr, service: &str, after: u64, wait_ms: u64) -> Value {
    let path = watch_path(service, after, wait_ms);
    let (status, text) = call(address, "GET", &path, Vec::new()).await.expect("the registry answers");
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("the answer is JSON")
}
