//! TTLs, watches and bad input.

use super::dial;
use crate::registry_rig::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn a_ttl_outlives_a_kill_as_it_was_last_renewed() {
    let data = data_dir("ttl");
    let registry = Registry::start(&data, &[]).await;
    let seq = registry
        .put(600_000, vec![entry("short", dial(), "SERVING"), entry("long", dial(), "SERVING")])
        .await;
    assert_eq!(
        registry.put(1000, vec![entry("short", dial(), "SERVING")]).await,
        seq,
        "a renewal is no change"
    );
    registry.kill().await;
    let registry = Registry::start(&data, &[]).await;
    let mut held = registry.get(&format!("?after={seq}")).await["seq"].as_u64().expect("seq");
    let lapse = within_deadline(async {
        loop {
            let page = registry.get(&format!("?after={held}&wait_ms=20000")).await;
            held = page["seq"].as_u64().expect("seq");
            if !host_names(&page).is_empty() {
                return page;
            }
        }
    });
    assert_eq!(host_names(&lapse.await), ["short"]);
    assert_eq!(host_names(&registry.get("").await), ["long"]);
}

#[tokio::test]
async fn a_registry_that_stood_still_takes_nobody_off_who_renews_in_time() {
    let mut registry = Registry::start(&data_dir("stall"), &[]).await;
    let renewed = || vec![entry("renews", dial(), "SERVING")];
    let seq = registry.put(1500, renewed()).await;
    registry.send_signal("STOP");
    // The renewal is written while nobody reads it, as everybody's is.
    let address = registry.address;
    let renewal = tokio::spawn(async move {
        let body = serde_json::json!({"ttl_ms": 600_000, "hosts": renewed()}).to_string().into_bytes();
        call(address, "PUT", "/registry/instances", body).await
    });
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    registry.send_signal("CONT");
    registry.wait_for_log("the registry stood still: every TTL is longer by that").await;
    let (status, text) = within_deadline(renewal).await.expect("no panic").expect("answered");
    assert_eq!((status, text), (200, format!("{{\"seq\":{seq}}}")), "it was a renewal, not a return");
}

#[tokio::test]
async fn a_watch_wakes_on_a_change_and_a_lapsed_ttl_is_a_deletion() {
    let data = data_dir("watch");
    let registry = Registry::start(&data, &[]).await;
    let seq = registry.put(300, vec![entry("short", dial(), "SERVING")]).await;
    assert_eq!(registry.put(600_000, vec![entry("long", dial(), "SERVING")]).await, seq + 1);
    assert_eq!(
        registry.put(600_000, vec![entry("long", dial(), "SERVING")]).await,
        seq + 1,
        "a renewal is no change"
    );
    // The TTL of "short" lapses while the watch waits; the watch's own wait is far longer.
    let delta = registry.get(&format!("?after={}&wait_ms=20000", seq + 1)).await;
    assert_eq!(delta["whole"], false);
    assert_eq!(delta["hosts"][0]["host"], "short");
    assert_eq!(delta["hosts"][0]["health"], "DELETED");
    assert_eq!(host_names(&registry.get("").await), ["long"]);
    let above = delta["seq"].as_u64().expect("seq") + 1000;
    let other_history = registry.get(&format!("?after={above}")).await;
    assert_eq!(other_history["whole"], true, "a version above the newest is another history");
}

#[tokio::test]
async fn bad_input_gets_a_plain_refusal_and_nothing_stored_is_lost() {
    let data = data_dir("bad");
    let flags = ["--header-timeout-ms", "500", "--max-connections", "100"];
    let registry = Registry::start(&data, &flags).await;
    registry.put(600_000, vec![entry("kept", dial(), "SERVING")]).await;
    let path = "/registry/instances";
    let big = format!("{{\"ttl_ms\":1000,\"hosts\":[],\"pad\":\"{}\"}}", "x".repeat(5 << 20));
    let bad: [(&str, &str, String, u16); 9] = [
        ("PUT", path, "{\"ttl_ms\":1000,\"hosts\":[".into(), 400),
        ("PUT", path, "{\"ttl_ms\":1000,\"hosts\":[],\"colour\":1}".into(), 400),
        ("PUT", path, big, 413),
        ("PUT", path, "{\"ttl_ms\":0,\"hosts\":[]}".into(), 400),
        ("PUT", path, "{\"ttl_ms\":1000,\"hosts\":[{\"host\":\"x\",\"health\":\"SERVING\"}]}".into(), 400),
        ("GET", "/registry/instances?after=1&wait_ms=60001", String::new(), 400),
        ("GET", "/registry/instances?after=x", String::new(), 400),
        ("DELETE", path, String::new(), 405),
        ("GET", "/elsewhere", String::new(), 404),
    ];
    for (method, path, body, want) in bad {
        let (status, text) = registry.call(method, path, &body).await;
        assert_eq!(status, want, "{method} {path}: {text}");
        assert!(!text.is_empty(), "a refusal says why");
    }
    let before = registry.descriptors();
    let mut silent = Vec::new();
    for _ in 0..300 {
        silent.push(TcpStream::connect(registry.address).await.expect("connects"));
    }
    // Each silent connection is closed by the registry: at once past its places, the others when their head is late.
    for mut stream in silent {
        let mut byte = [0u8; 1];
        let read = within_deadline(stream.read(&mut byte)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "a silent connection is closed");
    }
    within_deadline(async {
        while registry.descriptors() > before + 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    // Bodies that are promised and do not come: held up to a bound, refused at once past it, let go in time.
    let mut slow = Vec::new();
    for _ in 0..80 {
        let mut stream = TcpStream::connect(registry.address).await.expect("connects");
        let head = "PUT /registry/instances HTTP/1.1\r\nhost: r\r\ncontent-length: 1048576\r\n\r\n";
        stream.write_all(head.as_bytes()).await.expect("written");
        slow.push(stream);
    }
    let mut refused = 0;
    for mut stream in slow {
        let mut text = vec![0; 512];
        let n = within_deadline(stream.read(&mut text)).await.expect("answered");
        let text = String::from_utf8_lossy(&text[..n]).to_lowercase();
        let full = text.starts_with("http/1.1 503") && text.contains("retry-after: 1");
        assert!(full || text.starts_with("http/1.1 408"), "{text}");
        refused += usize::from(full);
    }
    assert!((10..40).contains(&refused), "{refused} of 80 bodies of 1 MiB are too many for 64 MiB");
    // One who asks and takes nothing of the answers is let go.
    let many = (0..5000).map(|k| entry(&format!("many-{k}"), dial(), "SERVING")).collect();
    registry.put(600_000, many).await;
    let mut deaf = TcpStream::connect(registry.address).await.expect("connects");
    let asks = "GET /registry/instances HTTP/1.1\r\nhost: r\r\n\r\n".repeat(200);
    deaf.write_all(asks.as_bytes()).await.expect("written");
    within_deadline(async {
        while registry.descriptors() > before + 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    drop(deaf);
    assert!(host_names(&registry.get("").await).contains(&"kept".to_string()), "nothing stored is lost");
}
