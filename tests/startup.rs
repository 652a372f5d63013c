//! A restarted process is ready in time, whatever state its discovery service is in.

mod rig;
mod waits;

use rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Nine in ten restarted processes must be ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Waits until the readiness probe succeeds.
async fn wait_until_ready(proxy: &ProxyProcess) {
    within_deadline(async {
        while proxy.readiness_status().await != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

/// Starts a proxy, measures the time until it is ready, and checks that it serves a request.
async fn time_to_ready(config: &Value) -> Duration {
    let started = Instant::now();
    let proxy = ProxyProcess::start_with_command(config, "exec \"$0\"").await;
    wait_until_ready(&proxy).await;
    let took = started.elapsed();
    assert_eq!(proxy.call("look").await.0, 200);
    took
}

/// Configurations for every discovery mode, with an ops address and without.
fn configs(discovery: &TestDiscovery, ask_within: f64) -> Vec<Value> {
    let mut configs = Vec::new();
    for (mode, ops) in [("automatic", false), ("automatic", true), ("subscribe", false), ("subscribe", true)]
    {
        let mut settings = settings();
        settings["discovery"] = mode.into();
        settings["guarantees"]["askWithin"] = json!(ask_within);
        let mut config = discovery.proxy_config(settings);
        if ops {
            config["ops"] = "127.0.0.1:0".into();
        }
        configs.push(config);
    }
    configs
}

/// A process with an old list becomes ready and serves while discovery never answers, refuses connections or closes
/// them.
#[tokio::test]
async fn with_an_old_list_startup_is_ready_whatever_discovery_does() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(Vec::new()).await;
    let silent_listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let refusing =
        TcpListener::bind("127.0.0.1:0").await.expect("a free port").local_addr().expect("listener is bound");
    let closing_listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let silent: SocketAddr = silent_listener.local_addr().expect("listener is bound");
    let closing = closing_listener.local_addr().expect("listener is bound");
    tokio::spawn(async move { while closing_listener.accept().await.is_ok() {} });
    for mut config in configs(&discovery, 10_000.0) {
        config["known"] = json!({"seq": 1, "whole": true, "hosts": [a.endpoint_entry("SERVING")]});
        for address in [silent, refusing, closing] {
            config["discovery"] = address.to_string().into();
            let took = time_to_ready(&config).await;
            assert!(took < READY_LIMIT, "{took:?} with discovery at {address}: {config}");
        }
    }
}

/// Without a list a process can serve no request, so that it calls discovery at once, however long the poll interval
/// is.
#[tokio::test]
async fn without_a_list_startup_calls_discovery_at_once() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    for config in configs(&discovery, 120_000.0) {
        let took = time_to_ready(&config).await;
        assert!(took < READY_LIMIT, "{took:?}: {config}");
    }
}
