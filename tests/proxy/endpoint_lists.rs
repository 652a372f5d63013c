//! Tests of endpoint lists from discovery: how they arrive, and how the proxy applies them.

use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;

/// SIGHUP ended the program in an earlier version. A reload must leave a pending watch at the old address immediately.
#[tokio::test]
async fn a_reload_moves_to_the_discovery_address_in_the_configuration() {
    let mut s = start_fixture(settings()).await;
    s.proxy.reload("{", "not reloaded").await;
    assert_eq!(s.proxy.call("once").await.0, 200);
    let c = TestBackend::start("c", &s.control).await;
    let moved = TestDiscovery::start(vec![c.endpoint_entry("SERVING")]).await;
    s.proxy.reload(&moved.proxy_config(settings()).to_string(), "reloaded").await;
    moved.wait_until_synced().await;
    assert_eq!(s.proxy.call("once").await, (200, "c".into()));
}

#[tokio::test]
async fn a_draining_backend_gets_no_new_requests_and_completes_those_in_flight() {
    let s = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut client = s.proxy.connect_client().await;
    let pending = tokio::spawn(async move { client.call("once").await });
    s.control.wait_for_requests(1).await;
    let busy = s.control.requests.borrow()[0].0;
    let (drains, other) = if busy == "a" { (&s.a, &s.b) } else { (&s.b, &s.a) };
    s.discovery.publish(vec![drains.endpoint_entry("DRAINING"), other.endpoint_entry("SERVING")]).await;
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await, (200, other.name.into()));
    }
    release.notify_one();
    assert_eq!(pending.await.expect("the task must not panic"), (200, busy.into()));
    // The connection of the completed request is not kept, since no request will use it.
    drains.wait_all_closed().await;
    s.discovery.publish(vec![drains.endpoint_entry("SERVING"), other.endpoint_entry("DRAINING")]).await;
    assert_eq!(s.proxy.call("look").await, (200, drains.name.into()));
}

/// In the large fleet the platform counts a change as known to the proxy after 6 s, even if a stalled watch has not
/// delivered it.
#[tokio::test]
async fn a_stalled_watch_is_replaced_before_the_change_counts_as_known() {
    let s = start_fixture(settings()).await;
    s.discovery.stall_watches();
    let changed = Instant::now();
    s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    assert!(
        changed.elapsed() < Duration::from_secs(6),
        "the change was applied after {:?}",
        changed.elapsed()
    );
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

/// Discovery truncates its responses during a release. The current list stays in use until the changed one arrives.
#[tokio::test]
async fn a_truncated_list_changes_nothing_and_is_requested_again() {
    let s = start_fixture(settings()).await;
    s.discovery.truncate_next_responses(3);
    let publish = async {
        s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    };
    let calls = async {
        for _ in 0..20 {
            assert_eq!(s.proxy.call("look").await.0, 200);
        }
    };
    tokio::join!(publish, calls);
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

#[tokio::test]
async fn no_request_is_sent_on_a_connect_that_outlasts_the_drain_grace() {
    let (listener, queued) = unresponsive_listener().await;
    let addr = listener.local_addr().expect("the listener's address");
    let discovery = TestDiscovery::start(vec![endpoint_entry("a", addr, "SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, with_cap("connectTimeout", 20_000.0.into())).await;
    let mut client = proxy.connect_client().await;
    let call = tokio::spawn(async move { client.call("once").await });
    let control = Arc::new(BackendControl::default());
    let b = TestBackend::start("b", &control).await;
    within_deadline(wait_for_connecting(addr)).await;
    discovery.publish(vec![endpoint_entry("a", addr, "DRAINING"), b.endpoint_entry("SERVING")]).await;
    let drain_published_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    // Accepting the queued connections makes room, so that the proxy's connect succeeds at the system's next attempt.
    for _ in &queued {
        drop(within_deadline(listener.accept()).await.expect("accept a queued connection"));
    }
    let (mut late, _) = within_deadline(listener.accept()).await.expect("accept the proxy's connection");
    assert!(drain_published_at.elapsed() > Duration::from_millis(500));
    assert_eq!(
        within_deadline(late.read(&mut [0; 64])).await.expect("a close without a reset"),
        0,
        "a request was sent after the grace"
    );
    assert_eq!(within_deadline(call).await.expect("the task must not panic"), (200, "b".into()));
}

#[tokio::test]
async fn the_proxy_is_ready_once_a_backend_is_listed_and_ignores_invalid_entries() {
    let control = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &control).await;
    let invalid = serde_json::json!({"host": 5});
    let discovery = TestDiscovery::start(vec![invalid.clone()]).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    let ready = || {
        hyper::Request::get("/health/ready")
            .header("host", "p")
            .body(Full::default())
            .expect("a valid request")
    };
    assert_eq!(proxy.connect_client().await.send(ready()).await.0, 503);
    discovery.publish(vec![invalid, a.endpoint_entry("SERVING"), serde_json::json!("?")]).await;
    assert_eq!(proxy.connect_client().await.send(ready()).await.0, 200);
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}
