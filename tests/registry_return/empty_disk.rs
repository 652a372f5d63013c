//! A registry whose machine is replaced: it returns with an empty disk.

use super::outage::{Outage, wait_for_spread_return};
use super::{TTL, start_clients, start_proxy, wait_for_lists};
use crate::fault_relay::Relay;
use crate::registry_rig::{Registry, data_dir};
use crate::rig::{BackendControl, ProxyProcess, TestBackend};
use serde_json::Value;
use std::sync::Arc;
use tokio::task::LocalSet;

const CLIENTS: usize = 80;
const PROXIES: usize = 3;
/// Number of calls to each proxy at each stage of the test.
const CALLS_PER_PROXY: usize = 20;

#[tokio::test]
async fn an_empty_registry_removes_no_backend_from_proxies_and_lists_converge_after_registration() {
    LocalSet::new().run_until(outage_and_empty_return()).await;
}

/// Returns the number of backends that a proxy knows.
async fn backends_known(proxy: &ProxyProcess) -> u64 {
    let page = proxy.ops_call("counters").await;
    let page: Value =
        serde_json::from_str(page.lines().next().expect("the answer has a line")).expect("the line is JSON");
    page["backends_known"].as_u64().expect("backends_known is a number")
}

/// Checks that calls through each proxy succeed.
async fn check_all_serve(proxies: &[ProxyProcess]) {
    for proxy in proxies {
        for _ in 0..CALLS_PER_PROXY {
            assert_eq!(proxy.call("look").await.0, 200);
        }
    }
}

async fn outage_and_empty_return() {
    let registry = Registry::start(&data_dir("disk-before"), &[]).await;
    let relay = Relay::start(registry.address).await;
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    registry.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let clients = start_clients(CLIENTS, relay.address);
    let mut proxies = Vec::new();
    for _ in 0..PROXIES {
        proxies.push(start_proxy(relay.address).await);
    }
    wait_for_lists(&clients, &["a", "b"]).await;

    registry.kill().await;
    let outage = Outage::begin(&clients);
    outage.wait_for_max_backoff(&clients).await;
    outage.check_call_bound(&clients);
    check_all_serve(&proxies).await;

    let registry = Registry::start(&data_dir("disk-after"), &[]).await;
    relay.set_target(registry.address);
    // The clients have no list guard: they apply the registry's empty list.
    wait_for_spread_return(&clients, &[]).await;
    assert!(
        clients.iter().all(|client| client.full_list_count() == 2),
        "each client must read one more full list"
    );
    for proxy in &mut proxies {
        proxy.wait_for_log("2 of 2 backends stay in service though the list lacks them").await;
    }
    check_all_serve(&proxies).await;
    for proxy in &proxies {
        assert_eq!(backends_known(proxy).await, 2, "both backends must stay in service");
    }

    registry.put(TTL, vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    wait_for_lists(&clients, &["a", "b"]).await;
    assert!(clients.iter().all(|client| client.full_list_count() == 2 && !client.version_went_back()));
    for proxy in &mut proxies {
        proxy.wait_for_log("the list is believed again, 2 backends").await;
    }
    check_all_serve(&proxies).await;
}
