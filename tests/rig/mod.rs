//! The proxy as a started process between clients, backends and discovery on loopback sockets. Backends only follow
//! the actions that a test queues, and tests wait for observable events.
#![allow(dead_code, unused_imports)]

mod backend;
mod client;
mod discovery;
mod proxy;
mod settings;
mod sockets;

pub use crate::waits::*;
pub use backend::{BackendAction, BackendControl, LongBody, TestBackend, endpoint_entry};
pub use client::{TestClient, connect, refusing_address, request, request_id, unresponsive_listener};
pub use discovery::TestDiscovery;
pub use proxy::{ProxyProcess, write_config};
pub use settings::{settings, with_cap};
pub use sockets::{
    accept_queue_len, connections_to, wait_for_connecting, wait_for_peer_close, wait_until_arrived,
};

use serde_json::Value;
use std::sync::Arc;

/// Two backends with a shared control, discovery that lists them, and a proxy that has the list.
pub struct ProxyFixture {
    pub control: Arc<BackendControl>,
    pub a: TestBackend,
    pub b: TestBackend,
    pub discovery: TestDiscovery,
    pub proxy: ProxyProcess,
}

/// Starts a fixture with these settings.
pub async fn start_fixture(settings: Value) -> ProxyFixture {
    start_fixture_with(settings, |_| {}).await
}

/// Starts a fixture after `change` has edited the configuration of the proxy.
pub async fn start_fixture_with(settings: Value, change: impl FnOnce(&mut Value)) -> ProxyFixture {
    let control = Arc::new(BackendControl::default());
    let (a, b) = (TestBackend::start("a", &control).await, TestBackend::start("b", &control).await);
    let discovery =
        TestDiscovery::start(vec![a.endpoint_entry("SERVING"), b.endpoint_entry("SERVING")]).await;
    let mut config = discovery.proxy_config(settings);
    change(&mut config);
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    ProxyFixture { control, a, b, discovery, proxy }
}
