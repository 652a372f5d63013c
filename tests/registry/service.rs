//! TTLs, watches and malformed input.

use super::{LIST_PATH, dial, version};
use crate::registry_rig::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn a_renewed_ttl_is_kept_across_a_kill() {
    let data = data_dir("ttl");
    let registry = Registry::start(&data, &[]).await;
    let seq = registry
        .put(600_000, vec![entry("short", dial(), "SERVING"), entry("long", dial(), "SERVING")])
        .await;
    assert_eq!(
        registry.put(1000, vec![entry("short", dial(), "SERVING")]).await,
        seq,
        "a renewal must not raise the version"
    );
    registry.kill().await;
    let registry = Registry::start(&data, &[]).await;
    let mut known_version = version(&registry.get(&format!("?after={seq}")).await);
    let expiry = within_deadline(async {
        loop {
            let page = registry.get(&format!("?after={known_version}&wait_ms=20000")).await;
            known_version = version(&page);
            if !host_names(&page).is_empty() {
                return page;
            }
        }
    });
    assert_eq!(host_names(&expiry.await), ["short"]);
    assert_eq!(host_names(&registry.get("").await), ["long"]);
}

#[tokio::test]
async fn after_a_stall_of_the_registry_an_entry_that_is_renewed_in_time_stays_listed() {
    let mut registry = Registry::start(&data_dir("stall"), &[]).await;
    let hosts = || vec![entry("renews", dial(), "SERVING")];
    let seq = registry.put(1500, hosts()).await;
    registry.send_signal("STOP");
    // The renewal is sent while the registry is stopped and reads no requests.
    let address = registry.address;
    let renewal = tokio::spawn(async move {
        let body = serde_json::json!({"ttl_ms": 600_000, "hosts": hosts()}).to_string().into_bytes();
        call(address, "PUT", LIST_PATH, body).await
    });
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    registry.send_signal("CONT");
    registry.wait_for_log("the registry was stalled; all TTLs are extended by that time").await;
    let (status, text) = within_deadline(renewal)
        .await
        .expect("the renewal task does not panic")
        .expect("the registry answers");
    assert_eq!(
        (status, text),
        (200, format!("{{\"seq\":{seq}}}")),
        "the write must be a renewal, not a new registration after an expiry"
    );
}

#[tokio::test]
async fn a_watch_is_woken_by_a_change_and_an_expired_ttl_is_a_deletion() {
    let data = data_dir("watch");
    let registry = Registry::start(&data, &[]).await;
    let seq = registry.put(300, vec![entry("short", dial(), "SERVING")]).await;
    assert_eq!(registry.put(600_000, vec![entry("long", dial(), "SERVING")]).await, seq + 1);
    assert_eq!(
        registry.put(600_000, vec![entry("long", dial(), "SERVING")]).await,
        seq + 1,
        "a renewal must not raise the version"
    );
    // The TTL of "short" expires while the watch waits; the watch's own wait is much longer.
    let delta = registry.get(&format!("?after={}&wait_ms=20000", seq + 1)).await;
    assert_eq!(delta["whole"], false);
    assert_eq!(delta["hosts"][0]["host"], "short");
    assert_eq!(delta["hosts"][0]["health"], "DELETED");
    assert_eq!(host_names(&registry.get("").await), ["long"]);
    let above = version(&delta) + 1000;
    let other_history = registry.get(&format!("?after={above}")).await;
    assert_eq!(other_history["whole"], true, "a version above the newest one belongs to another history");
}

#[tokio::test]
async fn malformed_or_slow_requests_are_rejected_and_lose_no_stored_entry() {
    let data = data_dir("bad");
    let flags = ["--header-timeout-ms", "500", "--max-connections", "100"];
    let registry = Registry::start(&data, &flags).await;
    registry.put(600_000, vec![entry("kept", dial(), "SERVING")]).await;
    let too_long = format!("{{\"ttl_ms\":1000,\"hosts\":[],\"pad\":\"{}\"}}", "x".repeat(5 << 20));
    let rejected: [(&str, &str, String, u16); 9] = [
        ("PUT", LIST_PATH, "{\"ttl_ms\":1000,\"hosts\":[".into(), 400),
        ("PUT", LIST_PATH, "{\"ttl_ms\":1000,\"hosts\":[],\"colour\":1}".into(), 400),
        ("PUT", LIST_PATH, too_long, 413),
        ("PUT", LIST_PATH, "{\"ttl_ms\":0,\"hosts\":[]}".into(), 400),
        (
            "PUT",
            LIST_PATH,
            "{\"ttl_ms\":1000,\"hosts\":[{\"host\":\"x\",\"health\":\"SERVING\"}]}".into(),
            400,
        ),
        ("GET", "/registry/instances?after=1&wait_ms=60001", String::new(), 400),
        ("GET", "/registry/instances?after=x", String::new(), 400),
        ("DELETE", LIST_PATH, String::new(), 405),
        ("GET", "/elsewhere", String::new(), 404),
    ];
    for (method, path, body, expected) in rejected {
        let (status, text) = registry.call(method, path, &body).await;
        assert_eq!(status, expected, "{method} {path}: {text}");
        assert!(!text.is_empty(), "a rejection must have a reason");
    }
    let before = registry.descriptors();
    let mut idle = Vec::new();
    for _ in 0..300 {
        idle.push(TcpStream::connect(registry.address).await.expect("the registry accepts"));
    }
    // The registry closes each idle connection: immediately beyond the maximum, otherwise when its head times out.
    for mut stream in idle {
        let mut byte = [0u8; 1];
        let read = within_deadline(stream.read(&mut byte)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "the registry must close an idle connection");
    }
    within_deadline(async {
        while registry.descriptors() > before + 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    // Bodies that are announced but not sent: as many as the budget allows wait and time out, the others are rejected
    // immediately.
    let mut slow = Vec::new();
    for _ in 0..80 {
        let mut stream = TcpStream::connect(registry.address).await.expect("the registry accepts");
        let head = "PUT /registry/instances HTTP/1.1\r\nhost: r\r\ncontent-length: 1048576\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        slow.push(stream);
    }
    let mut over_budget = 0;
    for mut stream in slow {
        let mut text = vec![0; 512];
        let n = within_deadline(stream.read(&mut text)).await.expect("the registry answers");
        let text = String::from_utf8_lossy(&text[..n]).to_lowercase();
        let is_over_budget = text.starts_with("http/1.1 503") && text.contains("retry-after: 1");
        assert!(is_over_budget || text.starts_with("http/1.1 408"), "{text}");
        over_budget += usize::from(is_over_budget);
    }
    assert!(
        (10..40).contains(&over_budget),
        "{over_budget} of 80 bodies of 1 MiB were rejected with a budget of 64 MiB"
    );
    // A client that sends requests and reads no answers is disconnected.
    let many = (0..5000).map(|k| entry(&format!("many-{k}"), dial(), "SERVING")).collect();
    registry.put(600_000, many).await;
    let mut unread = TcpStream::connect(registry.address).await.expect("the registry accepts");
    let requests = "GET /registry/instances HTTP/1.1\r\nhost: r\r\n\r\n".repeat(200);
    unread.write_all(requests.as_bytes()).await.expect("the requests are sent");
    within_deadline(async {
        while registry.descriptors() > before + 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    drop(unread);
    assert!(host_names(&registry.get("").await).contains(&"kept".to_string()), "a stored entry was lost");
}
