//! Requests that are queued as the process shuts down: in the accept queue with no descriptor left, or for their key
//! order.

mod rig;
mod waits;

use rig::*;
use serde_json::json;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Idle clients hold every descriptor, and the accept queue holds more requests than there are descriptors as the
/// listener closes: idle connections are evicted, and each request is answered.
#[tokio::test]
async fn with_no_descriptor_left_the_accept_queue_is_still_answered() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    let mut config = discovery.proxy_config(settings());
    config["limits"]["sockets"] = 64.into();
    let mut proxy = ProxyProcess::start_with_command(&config, "ulimit -n 64; exec \"$0\"").await;
    discovery.wait_until_synced().await;
    // A suspended process accepts no connection; all are queued, the idle ones first, when SIGTERM arrives.
    proxy.send_signal("-STOP");
    let (mut idle, mut waiting) = (Vec::new(), Vec::new());
    for _ in 0..40 {
        idle.push(TcpStream::connect(proxy.addr).await.expect("accept queue has space"));
    }
    for n in 0..30 {
        let mut stream = TcpStream::connect(proxy.addr).await.expect("accept queue has space");
        let head = format!(
            "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: q{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 3000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("connection is open");
        waiting.push(stream);
    }
    proxy.send_signal("-TERM");
    proxy.send_signal("-CONT");
    for (n, mut stream) in waiting.into_iter().enumerate() {
        let mut response = String::new();
        let closed = within_deadline(stream.read_to_string(&mut response)).await;
        assert!(closed.is_ok(), "request {n} of the queue was lost: {closed:?}");
        assert!(
            ["HTTP/1.1 200", "HTTP/1.1 503"].iter().any(|a| response.starts_with(a)),
            "{n}: {response:?}"
        );
    }
    drop(idle);
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
}

/// Requests that are queued behind the first of their key hold no slot. If the first one completes during shutdown,
/// they are sent; if it does not, they are answered at the shutdown deadline without an attempt.
#[tokio::test]
async fn requests_queued_by_key_order_in_a_shutdown_are_sent_or_answered_unsent() {
    for first_completes in [true, false] {
        let mut settings_by_key = settings();
        for class in settings_by_key["classes"].as_array_mut().expect("an array of classes") {
            class["fifoByKey"] = true.into();
            class["giveUp"] = json!(300.0);
        }
        let mut s = start_fixture(settings_by_key).await;
        let release = Arc::new(Notify::new());
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let mut calls = Vec::new();
        for n in 0..3 {
            let mut client = s.proxy.connect_client().await;
            calls.push(tokio::spawn(async move { client.call("once").await.0 }));
            if n == 0 {
                s.control.wait_for_requests(1).await;
            }
        }
        // One thread accepts them in order: once a later request with another key is served, they are queued.
        let mut other_client = s.proxy.connect_client().await;
        let independent = request("once").uri("/once?k=other").body(http_body_util::Full::default());
        assert_eq!(other_client.send(independent.expect("valid request")).await.0, 200);
        s.proxy.terminate().await;
        if first_completes {
            release.notify_one();
        }
        let mut got = Vec::new();
        for call in calls {
            got.push(call.await.expect("task completed"));
        }
        assert_eq!(got, if first_completes { [200; 3] } else { [504; 3] });
        assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
        s.a.wait_all_closed().await;
        s.b.wait_all_closed().await;
        assert_eq!(s.control.requests.borrow().len(), if first_completes { 4 } else { 2 });
    }
}
