//! Tests of a registry and proxies as processes: the proxies' endpoint lists when a registry fails, and which registry
//! and service they poll.

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

/// Time to live of the registered backends, ms; longer than any test.
const TTL_MS: u64 = 600_000;

/// Returns a proxy's configuration with these registry addresses, separated by commas.
fn config(discovery: &str) -> Value {
    json!({"listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
           "limits": {"memory_mb": 192, "sockets": 256}, "settings": settings()})
}

/// Polls the proxy's readiness until it is ready.
async fn wait_until_ready(proxy: &ProxyProcess) {
    within_deadline(async { while proxy.readiness_status().await != 200 {} }).await;
}

/// Makes calls until the named backend answers one; every call must be served.
async fn call_until_served_by(proxy: &ProxyProcess, name: &str) {
    within_deadline(async {
        loop {
            let (status, backend) = proxy.call("look").await;
            assert_eq!(status, 200, "{backend}");
            if backend == name {
                return;
            }
        }
    })
    .await;
}
