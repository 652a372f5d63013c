//! A registry that is down for some seconds and returns, with its data or with an empty disk, while many clients
//! watch its list.

#[path = "../client_rig/mod.rs"]
mod client_rig;
mod empty_disk;
#[path = "../fault_relay/mod.rs"]
mod fault_relay;
mod outage;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
#[path = "../rig/mod.rs"]
mod rig;
mod storm;
#[path = "../waits/mod.rs"]
mod waits;

use crate::rig::{ProxyProcess, settings, within_deadline};
use load_balancer::client::discovery::{PollBackoff, PollSchedule, Settings};
use load_balancer::client::traffic::Traffic;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// TTL of the registered backends, in milliseconds.
const TTL: u64 = 600_000;
/// Maximum backoff of the clients and proxies, to which the jitter adds up to the same time again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Starts clients that watch the list at an address, with backoff.
fn start_clients(count: usize, at: SocketAddr) -> Vec<client_rig::Client> {
    let backoff = PollBackoff { max_ms: MAX_BACKOFF.as_millis() as u64 };
    let schedule = PollSchedule::new(false, Duration::from_millis(500)).with_backoff(backoff);
    let client = |_| client_rig::Client::start(at, Settings::new(schedule, Traffic::default()));
    (0..count).map(client).collect()
}

/// Starts a proxy with the same backoff, whose list guard keeps backends that a list with nearly no backends lacks.
async fn start_proxy(at: SocketAddr) -> ProxyProcess {
    let config: Value = json!({
        "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "discovery": at.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 256}, "settings": settings(),
        "discovery_backoff": {"max_ms": MAX_BACKOFF.as_millis() as u64},
        "list_guard": {"panic_threshold": 0.1, "hold_ms": 600_000},
    });
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    within_deadline(async { while proxy.readiness_status().await != 200 {} }).await;
    proxy
}

/// Waits until every client's list has exactly these backends.
async fn wait_for_lists(clients: &[client_rig::Client], names: &[&str]) {
    for client in clients {
        within_deadline(client.wait_for_backends(names)).await;
    }
}
