//! A process that starts anew is ready in time, whatever state its discovery is in.

mod rig;
mod waits;

use rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Nine in ten restarted processes are to be ready within this.
const READY: Duration = Duration::from_secs(10);

/// Waits until the proxy can be put to use.
async fn ready(proxy: &ProxyProcess) {
    within_deadline(async {
        while proxy.readiness_status().await != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

/// How long a start takes until it is ready and has served a call.
async fn start(config: &Value) -> Duration {
    let begun = Instant::now();
    let proxy = ProxyProcess::start_with_command(config, "exec \"$0\"").await;
    ready(&proxy).await;
    let took = begun.elapsed();
    assert_eq!(proxy.call("look").await.0, 200);
    took
}

/// A configuration per way to be told the list, with an address for operators and without.
fn kinds(discovery: &TestDiscovery, ask_within: f64) -> Vec<Value> {
    let mut kinds = Vec::new();
    for (told, ops) in [("automatic", false), ("automatic", true), ("subscribe", false), ("subscribe", true)]
    {
        let mut settings = settings();
        settings["discovery"] = told.into();
        settings["guarantees"]["askWithin"] = json!(ask_within);
        let mut config = discovery.proxy_config(settings);
        if ops {
            config["ops"] = "127.0.0.1:0".into();
        }
        kinds.push(config);
    }
    kinds
}

/// With an old list a start is ready, and serves, however discovery is: silent, refusing, ending each call.
#[tokio::test]
async fn with_an_old_list_a_start_is_ready_whatever_discovery_does() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let discovery = TestDiscovery::start(Vec::new()).await;
    let mute = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let refusing = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
    let ending = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let silent: SocketAddr = mute.local_addr().expect("bound");
    let ends = ending.local_addr().expect("bound");
    tokio::spawn(async move { while ending.accept().await.is_ok() {} });
    for mut config in kinds(&discovery, 10_000.0) {
        config["known"] = json!({"seq": 1, "whole": true, "hosts": [a.endpoint_entry("SERVING")]});
        for address in [silent, refusing, ends] {
            config["discovery"] = address.to_string().into();
            let took = start(&config).await;
            assert!(took < READY, "{took:?} with discovery at {address}: {config}");
        }
    }
}

/// Without any list a start can serve nobody until it has one, so that it asks at once, however long the list may be
/// left unasked for later.
#[tokio::test]
async fn without_a_list_a_start_asks_for_one_at_once() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    for config in kinds(&discovery, 120_000.0) {
        let took = start(&config).await;
        assert!(took < READY, "{took:?}: {config}");
    }
}
