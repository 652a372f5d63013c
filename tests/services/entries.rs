//! Entries, watches and TTLs of one service are independent of those of other services.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Wait of a watch that outlasts every test, in milliseconds.
const WAIT_MS: u64 = 60_000;

/// A watch whose request has been sent. The registry serves connections in the order in which they arrive, so it
/// receives this one before any call that is made later.
struct PendingWatch {
    stream: TcpStream,
}

impl PendingWatch {
    async fn send(registry: &Registry, service: &str, after: u64) -> PendingWatch {
        let path = watch_path(service, after, WAIT_MS);
        let mut stream = TcpStream::connect(registry.address).await.expect("the registry accepts");
        let head = format!("GET {path} HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the request is sent");
        PendingWatch { stream }
    }

    /// Returns true if no byte of an answer has arrived.
    fn is_unanswered(&self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    async fn answer(mut self) -> Value {
        let mut text = String::new();
        within_deadline(self.stream.read_to_string(&mut text)).await.expect("the registry answers");
        let (head, body) = text.split_once("\r\n\r\n").expect("the answer has a head and a body");
        assert!(head.starts_with("HTTP/1.1 200"), "{text}");
        serde_json::from_str(body).expect("the answer is JSON")
    }
}

#[tokio::test]
async fn a_host_can_move_between_services_and_can_be_in_two() {
    let registry = Registry::start(&data_dir("services-move"), &[]).await;
    put(&registry, "", "twin", "SERVING").await;
    let from = put(&registry, "from", "mover", "SERVING").await;
    let to = put(&registry, "to", "twin", "SERVING").await;
    let from_watch = PendingWatch::send(&registry, "from", from).await;
    let to_watch = PendingWatch::send(&registry, "to", to).await;
    let deleted = put(&registry, "from", "mover", "DELETED").await;
    let added = put(&registry, "to", "mover", "SERVING").await;
    assert!(from < to && to < deleted && deleted < added, "all services share one order of versions");
    let deletion = from_watch.answer().await;
    let host = &deletion["hosts"][0];
    assert_eq!(
        (&deletion["seq"], &deletion["whole"], &host["host"], &host["health"]),
        (&deleted.into(), &false.into(), &"mover".into(), &"DELETED".into())
    );
    let addition = to_watch.answer().await;
    assert_eq!((version(&addition), host_names(&addition)), (added, vec!["mover".to_string()]));
    assert!(host_names(&list(&registry, "from").await).is_empty());
    assert_eq!(host_names(&list(&registry, "to").await), ["twin", "mover"]);
    // The host "twin" is deleted from only one of its services.
    put(&registry, "to", "twin", "DELETED").await;
    assert_eq!(host_names(&list(&registry, "to").await), ["mover"]);
    assert_eq!(host_names(&list(&registry, "").await), ["twin"]);
}

#[tokio::test]
async fn a_watch_is_not_woken_by_changes_of_another_service() {
    let registry = Registry::start(&data_dir("services-watch"), &[]).await;
    let version_a = put(&registry, "a", "a0", "SERVING").await;
    let version_unnamed = put(&registry, "", "u0", "SERVING").await;
    let watch_a = PendingWatch::send(&registry, "a", version_a).await;
    let watch_unnamed = PendingWatch::send(&registry, "", version_unnamed).await;
    for k in 0..20 {
        put(&registry, "b", &format!("b{k}"), "SERVING").await;
    }
    assert_eq!(
        version(&list(&registry, "a").await),
        version_a,
        "a change of another service must not raise this service's version"
    );
    assert!(
        watch_a.is_unanswered() && watch_unnamed.is_unanswered(),
        "a watch was answered because of a change of another service"
    );
    let changed_a = put(&registry, "a", "a1", "SERVING").await;
    let changed_unnamed = put(&registry, "", "u1", "SERVING").await;
    // A watch that was woken by another service would be answered with an older version and no entry.
    for (watch, changed, host) in [(watch_a, changed_a, "a1"), (watch_unnamed, changed_unnamed, "u1")] {
        let page = watch.answer().await;
        assert_eq!(
            (version(&page), &page["whole"], host_names(&page)),
            (changed, &false.into(), vec![host.into()])
        );
    }
}

#[tokio::test]
async fn a_ttl_expires_a_host_in_its_own_service_only() {
    let registry = Registry::start(&data_dir("services-ttl"), &[]).await;
    put(&registry, "long", "twin", "SERVING").await;
    let registered = put_with_ttl(&registry, "short", "twin", "SERVING", 300).await;
    let expiry = within_deadline(watch(registry.address, "short", registered, WAIT_MS)).await;
    assert_eq!(
        (&expiry["hosts"][0]["host"], &expiry["hosts"][0]["health"]),
        (&"twin".into(), &"DELETED".into())
    );
    assert_eq!(host_names(&list(&registry, "long").await), ["twin"]);
    assert!(host_names(&list(&registry, "short").await).is_empty());
}

#[tokio::test]
async fn a_watch_continues_after_the_last_entry_and_tombstone_of_its_service() {
    let data = data_dir("services-last");
    let registry = Registry::start(&data, &["--max-tombstones", "1"]).await;
    let first = put(&registry, "brief", "one", "SERVING").await;
    let until_deletion = PendingWatch::send(&registry, "brief", first).await;
    let last = put(&registry, "brief", "one", "DELETED").await;
    assert_eq!(version(&until_deletion.answer().await), last);
    let across_removal = PendingWatch::send(&registry, "brief", last).await;
    // Deletions of another service displace the only tombstone of this one.
    for host in ["x", "y"] {
        put(&registry, "other", host, "SERVING").await;
        put(&registry, "other", host, "DELETED").await;
    }
    let after_first = watch(registry.address, "brief", first, 0).await;
    assert_eq!(
        (&after_first["whole"], host_names(&after_first).len()),
        (&true.into(), 0),
        "a client that missed the deletion gets the full list"
    );
    let added = put(&registry, "brief", "two", "SERVING").await;
    let page = across_removal.answer().await;
    assert_eq!(
        (version(&page), &page["whole"], host_names(&page)),
        (added, &false.into(), vec!["two".to_string()])
    );
    put(&registry, "brief", "two", "DELETED").await;
    put(&registry, "kept", "k", "SERVING").await;
    registry.kill().await;
    let mut registry = Registry::start(&data, &["--max-tombstones", "0"]).await;
    let state_read = registry.wait_for_log("state read from disk").await;
    assert_eq!(state_read["services"], 1, "services without entries and tombstones must be dropped");
}

#[tokio::test]
async fn a_watch_of_an_unknown_service_is_woken_by_its_first_entry() {
    let registry = Registry::start(&data_dir("services-first"), &[]).await;
    let empty = list(&registry, "new").await;
    assert_eq!((&empty["whole"], host_names(&empty).len()), (&true.into(), 0));
    let pending = PendingWatch::send(&registry, "new", version(&empty)).await;
    put(&registry, "other", "o", "SERVING").await;
    let first = put(&registry, "new", "n", "SERVING").await;
    let page = pending.answer().await;
    assert_eq!(
        (version(&page), &page["whole"], host_names(&page)),
        (first, &false.into(), vec!["n".to_string()])
    );
}

/// Returns the resident memory of the registry process, in KiB.
fn resident_kib(registry: &Registry) -> u64 {
    let pid = registry.child.id().expect("the registry is running");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the status file is read");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("the status has VmRSS");
    line.split_whitespace().nth(1).expect("VmRSS has a value").parse().expect("VmRSS is a number")
}

/// Reads the lists of unknown service names with these numbers, in pipelined calls.
async fn read_unknown_lists(registry: &Registry, numbers: std::ops::Range<u32>) {
    const PIPELINED: u32 = 500;
    let mut stream = TcpStream::connect(registry.address).await.expect("the registry accepts");
    for from in numbers.clone().step_by(PIPELINED as usize) {
        let mut calls = String::new();
        for k in from..from + PIPELINED {
            let watch = if k % 2 == 0 { "&after=1&wait_ms=1" } else { "" };
            let path = format!("/registry/instances?service=nobody-{k}{watch}");
            calls += &format!("GET {path} HTTP/1.1\r\nhost: r\r\n\r\n");
        }
        stream.write_all(calls.as_bytes()).await.expect("the requests are sent");
        let (mut answers, mut text) = (0, Vec::new());
        while answers < PIPELINED as usize {
            let read = within_deadline(stream.read_buf(&mut text)).await.expect("the registry answers");
            assert!(read > 0, "the connection stays open");
            answers = String::from_utf8_lossy(&text).matches("\"hosts\":[]}").count();
        }
    }
}

#[tokio::test]
async fn reading_a_hundred_thousand_unknown_services_takes_no_memory() {
    let data = data_dir("services-unknown");
    let registry = Registry::start(&data, &[]).await;
    put(&registry, "known", "k", "SERVING").await;
    read_unknown_lists(&registry, 0..10_000).await;
    let before = resident_kib(&registry);
    read_unknown_lists(&registry, 10_000..110_000).await;
    let after = resident_kib(&registry);
    // A stored name would take at least 200 bytes, which is 20 MB for 100,000 names.
    assert!(after < before + 10_000, "{before} KiB, after 100,000 names more {after} KiB");
    registry.kill().await;
    let mut registry = Registry::start(&data, &[]).await;
    let state_read = registry.wait_for_log("state read from disk").await;
    assert_eq!(state_read["services"], 1, "reading an unknown service must not create it");
}

#[tokio::test]
async fn an_invalid_service_name_or_a_path_without_services_is_rejected_with_a_reason() {
    let registry = Registry::start(&data_dir("services-bad"), &[]).await;
    let body = json!({"ttl_ms": LONG_TTL_MS, "hosts": [entry("h", dial(), "SERVING")]}).to_string();
    for invalid in ["", "A", "a_b", "a%20b", "a%2fb", "%C3%BC", "%00", "%ff", &"a".repeat(64)] {
        for (method, body) in [("GET", ""), ("PUT", body.as_str())] {
            let (status, text) =
                registry.call(method, &format!("/registry/instances?service={invalid}"), body).await;
            assert!(status == 400 && text.starts_with("service: "), "{method} {invalid}: {status} {text}");
        }
    }
    for (method, path) in [("GET", "leases"), ("PUT", "leases"), ("GET", "routes"), ("PUT", "reports")] {
        let (status, text) = registry.call(method, &format!("/registry/{path}?service=a"), &body).await;
        assert!(status == 400 && text.contains("not per service yet"), "{method} {path}: {status} {text}");
    }
    let longest = "a".repeat(63);
    put(&registry, &longest, "h", "SERVING").await;
    assert_eq!(host_names(&list(&registry, &longest).await), ["h"]);
    assert!(host_names(&list(&registry, "").await).is_empty(), "a rejected write must not be stored");
}
