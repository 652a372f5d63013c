//! Backends scripted byte by byte: how much of a request they read, what they write and when, and how they end the
//! connection.
#![allow(dead_code, unused_imports)]

mod script;

use crate::rig::{ProxyProcess, TestDiscovery, endpoint_entry};
use crate::waits::within_deadline;
pub use script::{ConnectionEnd, Script, ScriptedResponse, ok_response};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// A proxy in front of two backends, `a` and `b`, that follow one script.
pub struct ScriptedFixture {
    pub script: Arc<Script>,
    pub backends: [SocketAddr; 2],
    pub discovery: TestDiscovery,
    pub proxy: ProxyProcess,
}

/// Starts a fixture with these settings.
pub async fn start_scripted(settings: Value) -> ScriptedFixture {
    start_scripted_with(settings, |_| {}).await
}

/// Starts a fixture after `change` has edited the configuration of the proxy.
pub async fn start_scripted_with(settings: Value, change: impl FnOnce(&mut Value)) -> ScriptedFixture {
    let script = Arc::new(Script::default());
    let backends = [script.start_backend().await, script.start_backend().await];
    let [a, b] = backends;
    let discovery =
        TestDiscovery::start(vec![endpoint_entry("a", a, "SERVING"), endpoint_entry("b", b, "SERVING")])
            .await;
    let mut config = discovery.proxy_config(settings);
    change(&mut config);
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    ScriptedFixture { script, backends, discovery, proxy }
}
