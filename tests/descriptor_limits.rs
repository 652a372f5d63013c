//! Idle clients use up the descriptors for clients while discovery is unavailable: the proxy can still connect to
//! discovery and to the backends.

mod agent_rig;
mod rig;
mod waits;

use agent_rig::Agent;
use rig::{
    BackendControl, ProxyProcess, TestBackend, accept_queue_len, refusing_address, settings, within_deadline,
};
use rstest::rstest;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time in which the proxy must apply a change once discovery has it and is reachable.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(6);

/// Concurrent calls to discovery, including those being set up.
const DISCOVERY_CALLS: usize = 3;

/// More clients than any case has descriptors for.
const MOST_CLIENTS: usize = 2048;

/// Discovery refuses connections at first. Some clients are idle after a response, the others never send anything and
/// connect until the proxy stops accepting. The process limit allows as many descriptors as the configuration, or
/// fewer.
#[rstest]
#[case::many(512, 512)]
#[case::few(256, 256)]
#[case::least(64, 64)]
#[case::fewer_allowed(1024, 128)]
#[tokio::test]
async fn idle_clients_block_neither_discovery_nor_backends(#[case] sockets: usize, #[case] allowed: usize) {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let (socket, discovery_addr) = refusing_address();
    let mut config = Agent::start(Vec::new()).await.proxy_config(settings());
    config["discovery"] = discovery_addr.to_string().into();
    config["limits"]["sockets"] = sockets.into();
    let mut proxy =
        ProxyProcess::start_with_command(&config, &format!("ulimit -n {allowed}; exec \"$0\"")).await;
    proxy.wait_for_log("Connection refused").await;
    let (mut idle, mut silent) = (Vec::new(), Vec::new());
    let ready = || hyper::Request::get("/health/ready").header("host", "p").body(Default::default());
    for _ in 0..allowed / 4 {
        let mut client = proxy.connect_client().await;
        assert_eq!(client.send(ready().expect("valid request")).await.0, 503);
        idle.push(client);
    }
    within_deadline(async {
        while !proxy.has_stopped_accepting() {
            // While the accept queue is empty, some may have been closed for sending nothing.
            let new_clients = if accept_queue_len(proxy.addr) == 0 { allowed } else { 0 };
            for _ in 0..new_clients {
                silent.push(TcpStream::connect(proxy.addr).await.expect("accept queue has space"));
            }
            silent.drain(..silent.len().saturating_sub(MOST_CLIENTS));
        }
    })
    .await;
    // Clients hold their share: the rest is left for backends, at most the other half, and for discovery.
    let used = proxy.descriptors();
    assert!((allowed / 2..=allowed - allowed / 8 - DISCOVERY_CALLS).contains(&used), "{used} descriptors");
    let reachable = Instant::now();
    let agent =
        Agent::from_listener(socket.listen(64).expect("address listens"), vec![a.endpoint_entry("SERVING")]);
    // No call may fail in another way first. The unit tests of the proxy check on a paused clock how soon it is called.
    agent.wait_until_list_held().await;
    let log = proxy.log_until("answers after failed calls; received the full list").await;
    assert!(log.iter().all(|line| !line.contains("discovery") || line.contains("answers")), "{log:?}");
    assert!(proxy.descriptors() <= allowed);
    // A client is served; its connection may have been evicted, in which case it connects again.
    let served = async { while proxy.call("look").await != (200, "a".into()) {} };
    timeout(PROPAGATION_LIMIT, served).await.expect("served in time");
    assert!(reachable.elapsed() < PROPAGATION_LIMIT);
    drop((idle, silent));
}
