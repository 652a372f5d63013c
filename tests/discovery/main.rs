//! The registry and proxies as processes, and what becomes of the proxies' lists when the registry fails.

#[path = "../fault_relay/mod.rs"]
mod fault_relay;
mod losses;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
mod replaced;
#[path = "../rig/mod.rs"]
mod rig;
mod service;
mod sources;
#[path = "../waits/mod.rs"]
mod waits;

use crate::rig::{ProxyProcess, settings, within_deadline};
use serde_json::{Value, json};

const TTL: u64 = 600_000;

/// A proxy's configuration that asks at these addresses.
fn config(discovery: &str) -> Value {
    json!({"listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
           "limits": {"memory_mb": 192, "sockets": 256}, "settings": settings()})
}

async fn until_ready(proxy: &ProxyProcess) {
    within_deadline(async { while proxy.readiness_status().await != 200 {} }).await;
}

/// Calls until a backend of this name answers; every call must be served.
async fn until_served_by(proxy: &ProxyProcess, name: &str) {
    within_deadline(async {
        loop {
            let (status, by) = proxy.call("look").await;
            assert_eq!(status, 200, "{by}");
            if by == name {
                return;
            }
        }
    })
    .await;
}
