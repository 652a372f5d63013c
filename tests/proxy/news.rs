//! What discovery says, how it comes, and what it changes.

use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::sync::Notify;

/// Day 6 of the score: SIGHUP ended the program. A watch that waits at the old address is left at once.
#[tokio::test]
async fn a_reload_moves_to_the_discovery_that_the_file_names() {
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
async fn nothing_new_goes_to_a_backend_that_drains_and_what_it_has_is_finished() {
    let s = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
    let mut caller = s.proxy.connect_client().await;
    let held = tokio::spawn(async move { caller.call("once").await });
    s.control.wait_for_requests(1).await;
    let busy = s.control.requests.borrow()[0].0;
    let (drains, other) = if busy == "a" { (&s.a, &s.b) } else { (&s.b, &s.a) };
    s.discovery.publish(vec![drains.endpoint_entry("DRAINING"), other.endpoint_entry("SERVING")]).await;
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await, (200, other.name.into()));
    }
    release.notify_one();
    assert_eq!(held.await.expect("no panic"), (200, busy.into()));
    // Its connection is not kept either: nothing will go over it.
    drains.wait_all_closed().await;
    s.discovery.publish(vec![drains.endpoint_entry("SERVING"), other.endpoint_entry("DRAINING")]).await;
    assert_eq!(s.proxy.call("look").await, (200, drains.name.into()));
}

/// The large fleet: news counts as told after 6 s, whether a watch that fell silent brought it or not.
#[tokio::test]
async fn a_watch_that_falls_silent_is_noticed_before_its_news_counts_as_told() {
    let s = start_fixture(settings()).await;
    s.discovery.stall_watches();
    let changed = Instant::now();
    s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    assert!(changed.elapsed() < Duration::from_secs(6), "told after {:?}", changed.elapsed());
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

/// During a release discovery breaks off: the list that is held stays in use, and the news comes all the same.
#[tokio::test]
async fn a_list_that_breaks_off_changes_nothing_and_is_asked_for_again() {
    let s = start_fixture(settings()).await;
    s.discovery.truncate_next_responses(3);
    let told = async {
        s.discovery.publish(vec![s.a.endpoint_entry("DRAINING"), s.b.endpoint_entry("SERVING")]).await;
    };
    let calls = async {
        for _ in 0..20 {
            assert_eq!(s.proxy.call("look").await.0, 200);
        }
    };
    tokio::join!(told, calls);
    assert_eq!(s.proxy.call("look").await, (200, "b".into()));
}

#[tokio::test]
async fn a_connect_that_outlasts_the_grace_of_a_drain_carries_nothing() {
    let (listener, held) = unresponsive_listener().await;
    let addr = listener.local_addr().expect("bound");
    let discovery = TestDiscovery::start(vec![endpoint_entry("a", addr, "SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, with_cap("connectTimeout", 20_000.0.into())).await;
    let mut caller = proxy.connect_client().await;
    let call = tokio::spawn(async move { caller.call("once").await });
    let orders = Arc::new(BackendControl::default());
    let b = TestBackend::start("b", &orders).await;
    within_deadline(wait_for_connecting(addr)).await;
    discovery.publish(vec![endpoint_entry("a", addr, "DRAINING"), b.endpoint_entry("SERVING")]).await;
    let told = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    // Only now does the queue get room, and the connection comes up when the system next tries.
    for _ in &held {
        drop(within_deadline(listener.accept()).await.expect("queued"));
    }
    let (mut late, _) = within_deadline(listener.accept()).await.expect("the proxy's");
    assert!(told.elapsed() > Duration::from_millis(500));
    assert_eq!(
        within_deadline(late.read(&mut [0; 64])).await.expect("closed"),
        0,
        "something was sent after the grace"
    );
    assert_eq!(within_deadline(call).await.expect("no panic"), (200, "b".into()));
}

#[tokio::test]
async fn it_is_ready_once_there_is_a_backend_and_odd_entries_are_passed_over() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let odd = serde_json::json!({"host": 5});
    let discovery = TestDiscovery::start(vec![odd.clone()]).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    let ready =
        || hyper::Request::get("/health/ready").header("host", "p").body(Full::default()).expect("good");
    assert_eq!(proxy.connect_client().await.send(ready()).await.0, 503);
    discovery.publish(vec![odd, a.endpoint_entry("SERVING"), serde_json::json!("?")]).await;
    assert_eq!(proxy.connect_client().await.send(ready()).await.0, 200);
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}
