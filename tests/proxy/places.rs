//! Descriptors and places of callers as they run short.

use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn running_out_of_descriptors_ends_nothing() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    // The system allows far fewer than the configuration says.
    let config = discovery.proxy_config(settings());
    let proxy = ProxyProcess::start_with_command(&config, "ulimit -n 24; exec \"$0\"").await;
    discovery.wait_until_synced().await;
    let mut crowd = Vec::new();
    for _ in 0..60 {
        crowd.push(TcpStream::connect(proxy.addr).await.expect("the system's queue takes it"));
    }
    drop(crowd);
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
}

/// A proxy with room for 8 callers, and 32 more that are only told so.
async fn cramped() -> ProxyFixture {
    start_fixture_with(settings(), |config| config["limits"]["sockets"] = 64.into()).await
}

#[tokio::test]
async fn callers_at_rest_do_not_keep_others_out() {
    let ProxyFixture { proxy, .. } = &cramped().await;
    // Some have made a call and rest, some have never said a word; there is room for 40 at the most.
    let (mut rest, mut mute) = (Vec::new(), Vec::new());
    for _ in 0..30 {
        let mut caller = proxy.connect_client().await;
        assert_eq!(caller.call("look").await.0, 200);
        rest.push(caller);
        mute.push(within_deadline(TcpStream::connect(proxy.addr)).await.expect("the system takes it"));
        mute.push(within_deadline(TcpStream::connect(proxy.addr)).await.expect("the system takes it"));
    }
}

/// A crowd that asks once and stays, whatever it asks: as places run short, the answer closes its connection.
#[tokio::test]
async fn as_places_run_short_no_answered_connection_is_kept() {
    let ProxyFixture { proxy, .. } = &cramped().await;
    let ready = || hyper::Request::get("/health/ready").header("host", "p").body(Full::default());
    let mut kept = proxy.connect_client().await;
    assert_eq!(kept.send(ready().expect("well formed")).await.0, 200);
    assert_eq!(kept.call("look").await.0, 200, "with room, connections are kept");
    // Half of the room of 8, and one more.
    let mut crowd = Vec::new();
    for _ in 0..4 {
        crowd.push(within_deadline(TcpStream::connect(proxy.addr)).await.expect("the system takes it"));
    }
    for call in [
        ready(),
        request("look").body(Full::default()),
        request("look").uri("/nothing").body(Full::default()),
    ] {
        let mut caller = proxy.connect_client().await;
        caller.send(call.expect("well formed")).await;
        assert!(within_deadline(caller.0.ready()).await.is_err(), "it is kept");
    }
}

/// Peers with half a head each fill all places: they make room like others, and are not waited for.
#[tokio::test]
async fn half_heads_do_not_keep_others_out() {
    let ProxyFixture { proxy, .. } = &cramped().await;
    let mut crowd = Vec::new();
    for _ in 0..60 {
        let mut peer = within_deadline(TcpStream::connect(proxy.addr)).await.expect("the system takes it");
        peer.write_all(b"GET /look HTTP/1.1\r\nHost: o").await.expect("open");
        crowd.push(peer);
    }
    assert_eq!(proxy.call("look").await.0, 200);
}

/// Who sends nothing, or a part of a head, must hear from us within 3 s of connecting; a proper caller may rest.
#[tokio::test]
async fn a_peer_that_sends_no_request_is_closed_in_time() {
    let s = start_fixture(settings()).await;
    let mut proper = s.proxy.connect_client().await;
    assert_eq!(proper.call("once").await.0, 200);
    for begun in ["", "POST /once HTTP/1.1\r\nHost: origin"] {
        let connected = Instant::now();
        let mut peer = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        peer.write_all(begun.as_bytes()).await.expect("open");
        within_deadline(peer.read_to_end(&mut Vec::new())).await.expect("closed, not reset");
        assert!(connected.elapsed() < Duration::from_secs(3), "{begun:?} held for {:?}", connected.elapsed());
    }
    assert_eq!(proper.call("once").await.0, 200);
}
