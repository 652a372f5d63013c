//! What entries, watches and TTLs of one service have to do with those of another: nothing.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longer than any test waits for an answer.
const WAIT_MS: u64 = 60_000;

/// A watch whose request has been sent. The registry serves connections in the order in which they come, so it has
/// this one before any call that is begun later.
struct Waiting(TcpStream);

impl Waiting {
    async fn on(registry: &Registry, service: &str, after: u64) -> Waiting {
        let sign = if service.is_empty() { '?' } else { '&' };
        let path = format!("{}{sign}after={after}&wait_ms={WAIT_MS}", path(service));
        let mut stream = TcpStream::connect(registry.address).await.expect("connects");
        let head = format!("GET {path} HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("written");
        Waiting(stream)
    }

    /// Nothing has come yet.
    fn is_silent(&self) -> bool {
        let read = self.0.try_read(&mut [0; 1]);
        matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }

    async fn answer(mut self) -> Value {
        let mut text = String::new();
        within_deadline(self.0.read_to_string(&mut text)).await.expect("answered");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head and a body");
        assert!(head.starts_with("HTTP/1.1 200"), "{text}");
        serde_json::from_str(body).expect("json")
    }
}

#[tokio::test]
async fn a_host_moves_between_services_and_may_be_in_two() {
    let registry = Registry::start(&data_dir("services-move"), &[]).await;
    put(&registry, "", "twin", "SERVING").await;
    let from = put(&registry, "from", "mover", "SERVING").await;
    let to = put(&registry, "to", "twin", "SERVING").await;
    let leaves = Waiting::on(&registry, "from", from).await;
    let joins = Waiting::on(&registry, "to", to).await;
    let gone = put(&registry, "from", "mover", "DELETED").await;
    let come = put(&registry, "to", "mover", "SERVING").await;
    assert!(from < to && to < gone && gone < come, "one order of versions for all services");
    let left = leaves.answer().await;
    let change = (&left["seq"], &left["whole"], &left["hosts"][0]["host"], &left["hosts"][0]["health"]);
    assert_eq!(change, (&gone.into(), &false.into(), &"mover".into(), &"DELETED".into()));
    let joined = joins.answer().await;
    assert_eq!((version(&joined), host_names(&joined)), (come, vec!["mover".to_string()]));
    assert!(host_names(&list(&registry, "from").await).is_empty());
    assert_eq!(host_names(&list(&registry, "to").await), ["twin", "mover"]);
    // The twin goes from one of its services alone.
    put(&registry, "to", "twin", "DELETED").await;
    assert_eq!(host_names(&list(&registry, "to").await), ["mover"]);
    assert_eq!(host_names(&list(&registry, "").await), ["twin"]);
}

#[tokio::test]
async fn a_watch_hears_nothing_of_another_service() {
    let registry = Registry::start(&data_dir("services-watch"), &[]).await;
    let held = [put(&registry, "a", "a0", "SERVING").await, put(&registry, "", "u0", "SERVING").await];
    let of_a = Waiting::on(&registry, "a", held[0]).await;
    let of_none = Waiting::on(&registry, "", held[1]).await;
    for k in 0..20 {
        put(&registry, "b", &format!("b{k}"), "SERVING").await;
    }
    assert_eq!(version(&list(&registry, "a").await), held[0], "a change elsewhere is no version here");
    assert!(of_a.is_silent() && of_none.is_silent(), "a byte for a change elsewhere");
    let changed = [put(&registry, "a", "a1", "SERVING").await, put(&registry, "", "u1", "SERVING").await];
    // Woken by one of the others, they would have answered with an older version and no entry.
    for (task, version_of, host) in [(of_a, changed[0], "a1"), (of_none, changed[1], "u1")] {
        let page = task.answer().await;
        assert_eq!(
            (version(&page), &page["whole"], host_names(&page)),
            (version_of, &false.into(), vec![host.into()])
        );
    }
}

#[tokio::test]
async fn a_ttl_is_that_of_a_host_in_one_service() {
    let registry = Registry::start(&data_dir("services-ttl"), &[]).await;
    put(&registry, "long", "twin", "SERVING").await;
    let held = put_for(&registry, "short", "twin", "SERVING", 300).await;
    let lapsed = within_deadline(watch(registry.address, "short", held, WAIT_MS)).await;
    assert_eq!(
        (&lapsed["hosts"][0]["host"], &lapsed["hosts"][0]["health"]),
        (&"twin".into(), &"DELETED".into())
    );
    assert_eq!(host_names(&list(&registry, "long").await), ["twin"]);
    assert!(host_names(&list(&registry, "short").await).is_empty());
}

#[tokio::test]
async fn watches_of_a_service_outlive_its_last_entry_and_its_memory() {
    let data = data_dir("services-last");
    let registry = Registry::start(&data, &["--max-tombstones", "1"]).await;
    let first = put(&registry, "brief", "one", "SERVING").await;
    let told = Waiting::on(&registry, "brief", first).await;
    let last = put(&registry, "brief", "one", "DELETED").await;
    assert_eq!(version(&told.answer().await), last);
    let lives = Waiting::on(&registry, "brief", last).await;
    // Another service's deletions push out the one that held this service.
    for host in ["x", "y"] {
        put(&registry, "other", host, "SERVING").await;
        put(&registry, "other", host, "DELETED").await;
    }
    let missed = watch(registry.address, "brief", first, 0).await;
    assert_eq!(
        (&missed["whole"], host_names(&missed).len()),
        (&true.into(), 0),
        "one that missed the deletion"
    );
    let back = put(&registry, "brief", "two", "SERVING").await;
    let page = lives.answer().await;
    assert_eq!(
        (version(&page), &page["whole"], host_names(&page)),
        (back, &false.into(), vec!["two".to_string()])
    );
    put(&registry, "brief", "two", "DELETED").await;
    put(&registry, "kept", "k", "SERVING").await;
    registry.kill().await;
    let mut registry = Registry::start(&data, &["--max-tombstones", "0"]).await;
    assert_eq!(registry.wait_for_log("state read from disk").await["services"], 1, "the others are gone");
}

#[tokio::test]
async fn a_watch_on_a_name_that_nobody_has_hears_of_its_first_entry() {
    let registry = Registry::start(&data_dir("services-first"), &[]).await;
    let empty = list(&registry, "new").await;
    assert_eq!((&empty["whole"], host_names(&empty).len()), (&true.into(), 0));
    let told = Waiting::on(&registry, "new", version(&empty)).await;
    put(&registry, "other", "o", "SERVING").await;
    let first = put(&registry, "new", "n", "SERVING").await;
    let page = told.answer().await;
    assert_eq!(
        (version(&page), &page["whole"], host_names(&page)),
        (first, &false.into(), vec!["n".to_string()])
    );
}

fn resident_kib(registry: &Registry) -> u64 {
    let pid = registry.child.id().expect("running");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("proc");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("VmRSS");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

/// Lists of so many names that nobody has, many calls on the way at once.
async fn ask_for_unknown(registry: &Registry, names: std::ops::Range<u32>) {
    const AT_ONCE: u32 = 500;
    let mut stream = TcpStream::connect(registry.address).await.expect("connects");
    for from in names.clone().step_by(AT_ONCE as usize) {
        let mut calls = String::new();
        for k in from..from + AT_ONCE {
            let watch = if k % 2 == 0 { "&after=1&wait_ms=1" } else { "" };
            let path = format!("/registry/instances?service=nobody-{k}{watch}");
            calls += &format!("GET {path} HTTP/1.1\r\nhost: r\r\n\r\n");
        }
        stream.write_all(calls.as_bytes()).await.expect("written");
        let (mut answers, mut text) = (0, Vec::new());
        while answers < AT_ONCE as usize {
            let read = within_deadline(stream.read_buf(&mut text)).await.expect("answered");
            assert!(read > 0, "the connection stays open");
            answers = String::from_utf8_lossy(&text).matches("\"hosts\":[]}").count();
        }
    }
}

#[tokio::test]
async fn a_hundred_thousand_names_that_nobody_has_cost_no_memory() {
    let data = data_dir("services-unknown");
    let registry = Registry::start(&data, &[]).await;
    put(&registry, "known", "k", "SERVING").await;
    ask_for_unknown(&registry, 0..10_000).await;
    let before = resident_kib(&registry);
    ask_for_unknown(&registry, 10_000..110_000).await;
    let after = resident_kib(&registry);
    // A name that were kept would take 200 bytes at the least: 20 MB of them.
    assert!(after < before + 10_000, "{before} KiB, after 100,000 names more {after} KiB");
    registry.kill().await;
    let mut registry = Registry::start(&data, &[]).await;
    assert_eq!(registry.wait_for_log("state read from disk").await["services"], 1, "asking makes no entry");
}

#[tokio::test]
async fn a_bad_name_or_a_path_without_services_is_refused_plainly() {
    let registry = Registry::start(&data_dir("services-bad"), &[]).await;
    let body = json!({"ttl_ms": LONG_TTL_MS, "hosts": [entry("h", dial(), "SERVING")]}).to_string();
    for bad in ["", "A", "a_b", "a%20b", "a%2fb", "%C3%BC", "%00", "%ff", &"a".repeat(64)] {
        for (method, body) in [("GET", ""), ("PUT", body.as_str())] {
            let (status, text) =
                registry.call(method, &format!("/registry/instances?service={bad}"), body).await;
            assert!(status == 400 && text.starts_with("service: "), "{method} {bad}: {status} {text}");
        }
    }
    for (method, path) in [("GET", "leases"), ("PUT", "leases"), ("GET", "routes"), ("PUT", "reports")] {
        let (status, text) = registry.call(method, &format!("/registry/{path}?service=a"), &body).await;
        assert!(status == 400 && text.contains("not per service yet"), "{method} {path}: {status} {text}");
    }
    let longest = "a".repeat(63);
    put(&registry, &longest, "h", "SERVING").await;
    assert_eq!(host_names(&list(&registry, &longest).await), ["h"]);
    assert!(host_names(&list(&registry, "").await).is_empty(), "nothing that was refused is stored");
}
