//! Tests of backend connections: they are reused, closed in time, and never used after the backend closed them.

use crate::rig::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

#[tokio::test]
async fn connections_are_reused_and_no_request_is_sent_on_a_closed_one() {
    let s = start_fixture(settings()).await;
    let mut client = s.proxy.connect_client().await;
    for _ in 0..20 {
        assert_eq!(client.call("once").await.0, 200);
    }
    let connections = || s.a.connections_total() + s.b.connections_total();
    assert!(connections() <= 2, "{} connections", connections());
    // A request that meets the backend's idle close would end as a reset, which fails a non-idempotent request.
    s.a.close_idle().await;
    s.b.close_idle().await;
    for _ in 0..20 {
        assert_eq!(client.call("once").await.0, 200);
    }
}

#[tokio::test]
async fn idle_connections_are_closed_before_the_backend_closes_them() {
    let s = start_fixture(with_cap("connIdle", 3000.0.into())).await;
    assert_eq!(s.proxy.call("look").await.0, 200);
    // The test backends never close a connection by themselves.
    s.a.wait_all_closed().await;
    s.b.wait_all_closed().await;
    assert_eq!(s.proxy.call("once").await.0, 200);
}

#[tokio::test]
async fn no_request_is_sent_on_connections_to_a_restarted_backends_old_process() {
    let s = start_fixture(settings()).await;
    for _ in 0..20 {
        assert_eq!(s.proxy.call("once").await.0, 200);
    }
    let (mut a, mut b) = (s.a.endpoint_entry("SERVING"), s.b.endpoint_entry("SERVING"));
    (a["born_ms"], b["born_ms"]) = (1.0.into(), 1.0.into());
    s.discovery.publish(vec![a, b]).await;
    s.a.wait_all_closed().await;
    s.b.wait_all_closed().await;
    assert_eq!(s.proxy.call("once").await.0, 200);
}

/// The connections left by a burst expire only if later calls use the most recently used connection.
#[tokio::test]
async fn connections_that_are_not_needed_expire() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, with_cap("connIdle", 3000.0.into())).await;
    let release = Arc::new(Notify::new());
    control.enqueue([BackendAction::ServeAfter(release.clone()), BackendAction::ServeAfter(release.clone())]);
    let (mut one, mut two) = (proxy.connect_client().await, proxy.connect_client().await);
    let pending = [
        tokio::spawn(async move { one.call("look").await }),
        tokio::spawn(async move { two.call("look").await }),
    ];
    control.wait_for_requests(2).await;
    release.notify_one();
    release.notify_one();
    for call in pending {
        assert_eq!(call.await.expect("the task must not panic").0, 200);
    }
    assert_eq!(a.connections_total(), 2);
    within_deadline(async {
        while *a.open_connections.borrow() > 1 {
            assert_eq!(proxy.call("look").await.0, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    assert_eq!(a.connections_total(), 2, "a new connection was opened instead of reusing one");
}
