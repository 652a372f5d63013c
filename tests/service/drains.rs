//! Drains and resumes.

use super::in_service;
use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

#[tokio::test]
async fn a_drain_says_no_serves_who_still_comes_and_closes_what_is_at_rest() {
    let s = in_service().await;
    assert!(s.proxy.ops_call("health").await.starts_with("ACK"));
    for _ in 0..2 {
        let (mut rests, mut busy) = (s.proxy.connect_client().await, s.proxy.connect_client().await);
        assert_eq!(rests.call("look").await.0, 200);
        let release = Arc::new(Notify::new());
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let seen = s.control.requests.borrow().len();
        let held = tokio::spawn(async move { (busy.call("once").await, busy) });
        s.control.wait_for_requests(seen + 1).await;
        assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK"));
        let told = Instant::now();
        assert_eq!(s.proxy.readiness_status().await, 503);
        let mut late = s.proxy.connect_client().await;
        assert_eq!(late.call("once").await.0, 200, "who still comes is served");
        assert!(within_deadline(late.0.ready()).await.is_err(), "and is let go with the answer");
        within_deadline(async {
            while rests.0.ready().await.is_ok() {
                tokio::task::yield_now().await
            }
        })
        .await;
        assert!(told.elapsed() < Duration::from_secs(2), "a connection at rest is held");
        release.notify_one();
        let ((status, _), mut busy) = held.await.expect("no panic");
        assert_eq!(status, 200, "what was taken is answered");
        assert!(within_deadline(busy.0.ready()).await.is_err(), "its connection goes too");
        assert!(s.proxy.ops_call("resume").await.starts_with("ACK"));
        assert_eq!(s.proxy.readiness_status().await, 200);
        let mut kept = s.proxy.connect_client().await;
        assert_eq!(kept.call("once").await.0, 200);
        assert_eq!(kept.call("once").await.0, 200, "connections are kept again");
    }
}

/// A connection whose request is on its way when the drain comes must not be closed on.
#[tokio::test]
async fn a_request_that_is_on_its_way_into_a_drain_is_answered() {
    let s = in_service().await;
    let mut slow = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK"));
    tokio::time::sleep(Duration::from_millis(800)).await;
    let head = "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: 77\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n";
    slow.write_all(head.as_bytes()).await.expect("open");
    tokio::time::sleep(Duration::from_millis(800)).await;
    slow.write_all(b"\r\n").await.expect("open");
    let mut answer = String::new();
    within_deadline(slow.read_to_string(&mut answer)).await.expect("closed, not reset");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("connection: close"), "{answer}");
}

#[tokio::test]
async fn a_stop_during_a_drain_ends_it_and_is_not_undone() {
    let mut s = in_service().await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut busy = s.proxy.connect_client().await;
    let held = tokio::spawn(async move { busy.call("once").await });
    s.control.wait_for_requests(1).await;
    assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK draining"));
    s.proxy.terminate().await;
    assert!(s.proxy.ops_call("resume").await.starts_with("NAK stopping"));
    assert!(s.proxy.ops_call("health").await.starts_with("NAK stopping"));
    assert_eq!(s.proxy.readiness_status().await, 503);
    release.notify_one();
    assert_eq!(held.await.expect("no panic").0, 200);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// A connection at rest has time for a last request, so that few requests cross its close.
#[tokio::test]
async fn a_kept_connection_is_used_until_its_answer_closes_it() {
    let s = in_service().await;
    let mut kept = s.proxy.connect_client().await;
    assert_eq!(kept.call("once").await.0, 200);
    assert!(s.proxy.ops_call("quiesce").await.starts_with("ACK"));
    let call = request("once").body(Full::from("x".repeat(60_000))).expect("well formed");
    assert_eq!(kept.send(call).await.0, 200, "straight after the call it is still open");
    assert!(within_deadline(kept.0.ready()).await.is_err());
}
