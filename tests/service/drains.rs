//! The `quiesce` and `resume` commands: a drain and its end.

use super::start_with_ops;
use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

#[tokio::test]
async fn a_drain_fails_readiness_serves_late_requests_and_closes_idle_connections() {
    let s = start_with_ops().await;
    assert!(s.proxy.ops_call("health").await.starts_with("ACK"));
    for _ in 0..2 {
        let (mut idle, mut busy) = (s.proxy.connect_client().await, s.proxy.connect_client().await);
        assert_eq!(idle.call("look").await.0, 200);
        let release = Arc::new(Notify::new());
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let seen = s.control.requests.borrow().len();
        let pending = tokio::spawn(async move { (busy.call("once").await, busy) });
        s.control.wait_for_requests(seen + 1).await;
        assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK"));
        let drained_at = Instant::now();
        assert_eq!(s.proxy.readiness_status().await, 503);
        let mut late = s.proxy.connect_client().await;
        assert_eq!(late.call("once").await.0, 200, "a request during a drain is served");
        assert!(
            within_deadline(late.0.ready()).await.is_err(),
            "the connection stays open after the response"
        );
        within_deadline(async {
            while idle.0.ready().await.is_ok() {
                tokio::task::yield_now().await
            }
        })
        .await;
        assert!(drained_at.elapsed() < Duration::from_secs(2), "an idle connection is kept open");
        release.notify_one();
        let ((status, _), mut busy) = pending.await.expect("task completed");
        assert_eq!(status, 200, "a request in flight is answered");
        assert!(within_deadline(busy.0.ready()).await.is_err(), "its connection stays open");
        assert!(s.proxy.ops_call("resume").await.starts_with("ACK"));
        assert_eq!(s.proxy.readiness_status().await, 200);
        let mut kept = s.proxy.connect_client().await;
        assert_eq!(kept.call("once").await.0, 200);
        assert_eq!(kept.call("once").await.0, 200, "connections are kept alive again");
    }
}

/// A connection on which a request head arrives slowly while the drain starts must not be closed.
#[tokio::test]
async fn a_request_whose_head_arrives_during_a_drain_is_answered() {
    let s = start_with_ops().await;
    let mut slow = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
    assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK"));
    tokio::time::sleep(Duration::from_millis(800)).await;
    let head = "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: 77\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n";
    slow.write_all(head.as_bytes()).await.expect("connection is open");
    tokio::time::sleep(Duration::from_millis(800)).await;
    slow.write_all(b"\r\n").await.expect("connection is open");
    let mut response = String::new();
    within_deadline(slow.read_to_string(&mut response)).await.expect("connection closed without a reset");
    assert!(response.starts_with("HTTP/1.1 200") && response.contains("connection: close"), "{response}");
}

#[tokio::test]
async fn shutdown_during_a_drain_cannot_be_resumed() {
    let mut s = start_with_ops().await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut busy = s.proxy.connect_client().await;
    let pending = tokio::spawn(async move { busy.call("once").await });
    s.control.wait_for_requests(1).await;
    assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK draining"));
    s.proxy.terminate().await;
    assert!(s.proxy.ops_call("resume").await.starts_with("NAK stopping"));
    assert!(s.proxy.ops_call("health").await.starts_with("NAK stopping"));
    assert_eq!(s.proxy.readiness_status().await, 503);
    release.notify_one();
    assert_eq!(pending.await.expect("task completed").0, 200);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// An idle connection stays open for one more request, so that few requests race with its close.
#[tokio::test]
async fn a_drain_leaves_an_idle_connection_open_for_one_more_request() {
    let s = start_with_ops().await;
    let mut kept = s.proxy.connect_client().await;
    assert_eq!(kept.call("once").await.0, 200);
    assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK"));
    let call = request("once").body(Full::from("x".repeat(60_000))).expect("valid request");
    assert_eq!(kept.send(call).await.0, 200, "the connection is closed right after the drain");
    assert!(within_deadline(kept.0.ready()).await.is_err());
}
