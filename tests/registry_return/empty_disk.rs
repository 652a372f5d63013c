//! A registry whose machine is replaced: it comes back with an empty disk.

use super::outage::{Outage, returns_spread};
use super::{TTL, all_hold, clients, proxy};
use crate::fault_relay::Relay;
use crate::registry_rig::{Registry, data_dir};
use crate::rig::{BackendControl, ProxyProcess, TestBackend};
use serde_json::Value;
use std::sync::Arc;
use tokio::task::LocalSet;

const CLIENTS: usize = 80;
const PROXIES: usize = 3;
/// Calls to each proxy at each stage.
const CALLS: usize = 20;

#[tokio::test]
async fn an_empty_registry_takes_no_backend_away_and_all_hold_the_truth_once_they_registered_anew() {
    LocalSet::new().run_until(replaced()).await;
}

/// How many backends a proxy knows.
async fn known(proxy: &ProxyProcess) -> u64 {
    let page = proxy.ops_call("counters").await;
    let page: Value = serde_json::from_str(page.lines().next().expect("a page")).expect("JSON");
    page["backends_known"].as_u64().expect("a number")
}

async fn all_serve(proxies: &[ProxyProcess]) {
    for proxy in proxies {
        for _ in 0..CALLS {
            assert_eq!(proxy.call("look").await.0, 200);
        }
    }
}

async fn replaced() {
    let registry = Registry::start(&data_dir("disk-before"), &[]).await;
    let relay = Relay::start(registry.address).await;
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    registry.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let clients = clients(CLIENTS, relay.address);
    let mut proxies = Vec::new();
    for _ in 0..PROXIES {
        proxies.push(proxy(relay.address).await);
    }
    all_hold(&clients, &["a", "b"]).await;

    registry.kill().await;
    let outage = Outage::begin(&clients);
    outage.has_lasted(&clients).await;
    outage.was_bounded(&clients);
    all_serve(&proxies).await;

    let registry = Registry::start(&data_dir("disk-after"), &[]).await;
    relay.set_target(registry.address);
    // The clients have no guard: they hold what the registry says.
    returns_spread(&clients, &[]).await;
    assert!(clients.iter().all(|client| client.full_list_count() == 2), "one whole list more for each");
    for proxy in &mut proxies {
        proxy.wait_for_log("2 of 2 backends stay in service though the list lacks them").await;
    }
    all_serve(&proxies).await;
    for proxy in &proxies {
        assert_eq!(known(proxy).await, 2, "both are in service still");
    }

    registry.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    all_hold(&clients, &["a", "b"]).await;
    assert!(clients.iter().all(|client| client.full_list_count() == 2 && !client.version_went_back()));
    for proxy in &mut proxies {
        proxy.wait_for_log("the list is believed again, 2 backends").await;
    }
    all_serve(&proxies).await;
}
