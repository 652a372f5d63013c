//! Tests of planned stops.

use crate::rig::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;

#[tokio::test]
async fn all_accepted_requests_are_answered_at_a_planned_stop() {
    let mut s = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let (mut busy, mut idle) = (s.proxy.connect_client().await, s.proxy.connect_client().await);
    let pending = tokio::spawn(async move { busy.call("once").await });
    s.control.wait_for_requests(1).await;
    s.proxy.terminate().await;
    assert_eq!(idle.call("look").await.0, 200, "an idle connection must still be served");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        s.proxy.call("look").await.0,
        200,
        "a new connection must still be accepted during the drain delay"
    );
    within_deadline(async {
        while idle.0.ready().await.is_ok() && TcpStream::connect(s.proxy.addr).await.is_ok() {}
    })
    .await;
    release.notify_one();
    assert_eq!(pending.await.expect("the task must not panic").0, 200);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

#[tokio::test]
async fn a_planned_stop_does_not_wait_for_an_unresponsive_backend() {
    let mut s = start_fixture(settings()).await;
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let mut client = s.proxy.connect_client().await;
    let pending = tokio::spawn(async move { client.call("once").await });
    s.control.wait_for_requests(1).await;
    s.proxy.terminate().await;
    let (status, _) = pending.await.expect("the task must not panic");
    assert_eq!(status, 504, "the request may have run");
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}
