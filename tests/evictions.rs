//! Connections to backends that are given up for want of places or for their age, beside those that take them up.

mod rig;
mod waits;

use http_body_util::Full;
use rig::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// More backends than places for connections to them, and connections that grow old in a twentieth of a second: what
/// is kept makes room or is swept while others take it up again, and every request runs once.
#[tokio::test]
async fn a_request_whose_connection_could_be_given_up_runs_once() {
    let orders = Arc::new(BackendControl::default());
    let (mut backends, mut lines) = (Vec::new(), Vec::new());
    for name in ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"] {
        let backend = TestBackend::start(name, &orders).await;
        lines.push(backend.endpoint_entry("SERVING"));
        backends.push(backend);
    }
    let discovery = TestDiscovery::start(lines).await;
    let mut config = discovery.proxy_config(with_cap("connIdle", 100.0.into()));
    config["limits"]["sockets"] = 64.into();
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    let begun = Instant::now();
    let mut calls = 0;
    while begun.elapsed() < Duration::from_secs(2) || calls < 200 {
        let mut batch = Vec::new();
        for _ in 0..3 {
            let mut caller = proxy.connect_client().await;
            let call = request("once").body(Full::from("x")).expect("well formed");
            batch.push(tokio::spawn(async move { caller.send(call).await.0 }));
        }
        for call in batch {
            assert_eq!(call.await.expect("no panic"), 200);
            calls += 1;
        }
    }
    let connections: usize = backends.iter().map(TestBackend::connections_total).sum();
    assert!(connections > backends.len(), "{connections} connections: none was given up");
    assert_eq!(orders.requests.borrow().len(), calls);
}
