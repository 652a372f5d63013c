//! Idle connections to backends are evicted for lack of descriptors or closed for their age while requests reuse them.

mod rig;
mod waits;

use http_body_util::Full;
use rig::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// There are more backends than descriptors for connections to them, and connections expire after a twentieth of a
/// second: idle connections are evicted or expire while requests reuse others, and every request runs once.
#[tokio::test]
async fn a_request_that_races_with_connection_eviction_runs_once() {
    let control = Arc::new(BackendControl::default());
    let (mut backends, mut lines) = (Vec::new(), Vec::new());
    for name in ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"] {
        let backend = TestBackend::start(name, &control).await;
        lines.push(backend.endpoint_entry("SERVING"));
        backends.push(backend);
    }
    let discovery = TestDiscovery::start(lines).await;
    let mut config = discovery.proxy_config(with_cap("connIdle", 100.0.into()));
    config["limits"]["sockets"] = 64.into();
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    let started = Instant::now();
    let mut calls = 0;
    while started.elapsed() < Duration::from_secs(2) || calls < 200 {
        let mut batch = Vec::new();
        for _ in 0..3 {
            let mut client = proxy.connect_client().await;
            let call = request("once").body(Full::from("x")).expect("valid request");
            batch.push(tokio::spawn(async move { client.send(call).await.0 }));
        }
        for call in batch {
            assert_eq!(call.await.expect("task completed"), 200);
            calls += 1;
        }
    }
    let connections: usize = backends.iter().map(TestBackend::connections_total).sum();
    assert!(connections > backends.len(), "{connections} connections: none was evicted");
    assert_eq!(control.requests.borrow().len(), calls);
}
