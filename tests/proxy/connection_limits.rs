//! Tests of a proxy that runs out of descriptors or reaches its connection limit.

use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn the_proxy_keeps_serving_after_it_runs_out_of_descriptors() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    // The process gets far fewer descriptors than the configuration allows.
    let config = discovery.proxy_config(settings());
    let proxy = ProxyProcess::start_with_command(&config, "ulimit -n 24; exec \"$0\"").await;
    discovery.wait_until_synced().await;
    let mut connections = Vec::new();
    for _ in 0..60 {
        connections.push(TcpStream::connect(proxy.addr).await.expect("connect to the listen queue"));
    }
    drop(connections);
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
}

/// Starts a proxy with a limit of 8 client connections and 32 spare ones, whose requests are rejected under load.
async fn start_with_few_connections() -> ProxyFixture {
    start_fixture_with(settings(), |config| config["limits"]["sockets"] = 64.into()).await
}

#[tokio::test]
async fn idle_clients_do_not_block_new_ones() {
    let ProxyFixture { proxy, .. } = &start_with_few_connections().await;
    // Some clients are idle after a call, others have sent nothing; at most 40 connections are accepted.
    let (mut idle, mut silent) = (Vec::new(), Vec::new());
    for _ in 0..30 {
        let mut client = proxy.connect_client().await;
        assert_eq!(client.call("look").await.0, 200);
        idle.push(client);
        silent.push(
            within_deadline(TcpStream::connect(proxy.addr)).await.expect("connect to the listen queue"),
        );
        silent.push(
            within_deadline(TcpStream::connect(proxy.addr)).await.expect("connect to the listen queue"),
        );
    }
}

/// Many clients may send one request each and stay connected. Near the connection limit, the response to any
/// request closes its connection.
#[tokio::test]
async fn near_the_connection_limit_each_response_closes_its_connection() {
    let ProxyFixture { proxy, .. } = &start_with_few_connections().await;
    let ready = || hyper::Request::get("/health/ready").header("host", "p").body(Full::default());
    let mut kept = proxy.connect_client().await;
    assert_eq!(kept.send(ready().expect("a valid request")).await.0, 200);
    assert_eq!(kept.call("look").await.0, 200, "a connection must be kept while few are open");
    // Half of the limit of 8, and one more.
    let mut connections = Vec::new();
    for _ in 0..4 {
        connections.push(
            within_deadline(TcpStream::connect(proxy.addr)).await.expect("connect to the listen queue"),
        );
    }
    for call in [
        ready(),
        request("look").body(Full::default()),
        request("look").uri("/nothing").body(Full::default()),
    ] {
        let mut client = proxy.connect_client().await;
        client.send(call.expect("a valid request")).await;
        assert!(within_deadline(client.0.ready()).await.is_err(), "the connection is kept after a response");
    }
}

/// Clients that have sent an incomplete head hold all connections. They are closed like idle ones, without waiting
/// for the rest of the head.
#[tokio::test]
async fn incomplete_heads_do_not_block_new_clients() {
    let ProxyFixture { proxy, .. } = &start_with_few_connections().await;
    let mut clients = Vec::new();
    for _ in 0..60 {
        let mut peer =
            within_deadline(TcpStream::connect(proxy.addr)).await.expect("connect to the listen queue");
        peer.write_all(b"GET /look HTTP/1.1\r\nHost: o").await.expect("the connection is open");
        clients.push(peer);
    }
    assert_eq!(proxy.call("look").await.0, 200);
}

/// A client that sends nothing or an incomplete head must get a response or a close within 3 s of connecting. A
/// client that has made a call may stay idle.
#[tokio::test]
async fn a_connection_without_a_request_head_is_closed_in_time() {
    let s = start_fixture(settings()).await;
    let mut idle = s.proxy.connect_client().await;
    assert_eq!(idle.call("once").await.0, 200);
    for begun in ["", "POST /once HTTP/1.1\r\nHost: origin"] {
        let connected = Instant::now();
        let mut peer = TcpStream::connect(s.proxy.addr).await.expect("connect to the proxy");
        peer.write_all(begun.as_bytes()).await.expect("the connection is open");
        within_deadline(peer.read_to_end(&mut Vec::new())).await.expect("a close without a reset");
        assert!(
            connected.elapsed() < Duration::from_secs(3),
            "connection with {begun:?} was open for {:?}",
            connected.elapsed()
        );
    }
    assert_eq!(idle.call("once").await.0, 200);
}
