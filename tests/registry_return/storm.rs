//! A registry that returns with its data.

use super::outage::{Outage, wait_for_spread_return};
use super::{TTL, start_clients, start_proxy, wait_for_lists};
use crate::fault_relay::Relay;
use crate::registry_rig::{Registry, data_dir};
use crate::rig::{BackendControl, TestBackend, within_deadline};
use std::sync::Arc;
use tokio::task::LocalSet;

const CLIENTS: usize = 80;

#[tokio::test]
async fn after_an_outage_calls_are_spread_and_each_client_resumes_from_its_version() {
    LocalSet::new().run_until(outage_and_return()).await;
}

async fn outage_and_return() {
    let data = data_dir("return-with-data");
    let registry = Registry::start(&data, &[]).await;
    let relay = Relay::start(registry.address).await;
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    registry.put(TTL, vec![a.endpoint_entry("SERVING")]).await;
    let clients = start_clients(CLIENTS, relay.address);
    let proxies = [start_proxy(relay.address).await, start_proxy(relay.address).await];
    wait_for_lists(&clients, &["a"]).await;
    let full_lists = relay.full_list_calls();
    assert_eq!(full_lists, clients.len() + proxies.len(), "each client and proxy must read one full list");

    registry.kill().await;
    let outage = Outage::begin(&clients);
    outage.wait_for_max_backoff(&clients).await;
    outage.check_call_bound(&clients);
    for proxy in &proxies {
        assert_eq!(proxy.call("look").await, (200, "a".into()), "the proxy must serve from its last list");
    }

    let registry = Registry::start(&data, &[]).await;
    registry.put(TTL, vec![b.endpoint_entry("SERVING")]).await;
    relay.set_target(registry.address);
    wait_for_spread_return(&clients, &["a", "b"]).await;
    for proxy in &proxies {
        within_deadline(async { while proxy.call("look").await != (200, "b".into()) {} }).await;
    }
    assert_eq!(relay.full_list_calls(), full_lists, "each client and proxy must resume from its version");
    assert!(clients.iter().all(|client| client.full_list_count() == 1 && !client.version_went_back()));
}
