//! A registry that comes back with its data.

use super::outage::{Outage, returns_spread};
use super::{TTL, all_hold, clients, proxy};
use crate::fault_relay::Relay;
use crate::registry_rig::{Registry, data_dir};
use crate::rig::{BackendControl, TestBackend, within_deadline};
use std::sync::Arc;
use tokio::task::LocalSet;

const CLIENTS: usize = 80;

#[tokio::test]
async fn a_registry_that_was_gone_is_not_stormed_and_each_client_goes_on_from_its_version() {
    LocalSet::new().run_until(outage_and_return()).await;
}

async fn outage_and_return() {
    let data = data_dir("return-with-data");
    let registry = Registry::start(&data, &[]).await;
    let relay = Relay::start(registry.address).await;
    let orders = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &orders).await, TestBackend::start("b", &orders).await);
    registry.put(TTL, vec![a.endpoint_entry("SERVING")]).await;
    let clients = clients(CLIENTS, relay.address);
    let proxies = [proxy(relay.address).await, proxy(relay.address).await];
    all_hold(&clients, &["a"]).await;
    let whole = relay.full_list_calls();
    assert_eq!(whole, clients.len() + proxies.len(), "one whole list each");

    registry.kill().await;
    let outage = Outage::begin(&clients);
    outage.has_lasted(&clients).await;
    outage.was_bounded(&clients);
    for proxy in &proxies {
        assert_eq!(proxy.call("look").await, (200, "a".into()), "served from the list that is held");
    }

    let registry = Registry::start(&data, &[]).await;
    registry.put(TTL, vec![b.endpoint_entry("SERVING")]).await;
    relay.set_target(registry.address);
    returns_spread(&clients, &["a", "b"]).await;
    for proxy in &proxies {
        within_deadline(async { while proxy.call("look").await != (200, "b".into()) {} }).await;
    }
    assert_eq!(relay.full_list_calls(), whole, "everybody went on from the version that it held");
    assert!(clients.iter().all(|client| client.full_list_count() == 1 && !client.version_went_back()));
}
