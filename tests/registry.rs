//! The registry as a process: durable versions through kill -9 and torn writes, TTLs, watches, bad input.

mod registry_rig;
mod waits;

use registry_rig::*;
use serde_json::Value;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

fn dial() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("address")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_answered_write_outlives_a_kill_and_versions_go_on_above_it() {
    let data = data_dir("kill");
    let registry = Registry::start(&data, &[]).await;
    let acked: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let enough = Arc::new(Notify::new());
    let mut writers = Vec::new();
    for writer in 0..16 {
        let (acked, enough, address) = (acked.clone(), enough.clone(), registry.address);
        writers.push(tokio::spawn(async move {
            for k in 0.. {
                let host = format!("w{writer}-{k}");
                let body = serde_json::json!({"ttl_ms": 600_000, "hosts": [entry(&host, dial(), "SERVING")]});
                let answer = call(address, "PUT", "/registry/instances", body.to_string().into_bytes()).await;
                let Ok((200, text)) = answer else { return };
                let seq = serde_json::from_str::<Value>(&text).expect("json")["seq"].as_u64().expect("seq");
                let mut acked = acked.lock().expect("sound");
                acked.insert(host, seq);
                if acked.len() >= 300 {
                    enough.notify_one();
                }
            }
        }));
    }
    soon(enough.notified()).await;
    // A watcher's place before the kill: it must go on from there with changes only.
    let watched = registry.get("").await["seq"].as_u64().expect("seq");
    registry.kill().await;
    for writer in writers {
        soon(writer).await.expect("no panic");
    }
    let acked = acked.lock().expect("sound").clone();
    let last = *acked.values().max().expect("some were answered");

    let registry = Registry::start(&data, &[]).await;
    let whole = registry.get("").await;
    let listed = names(&whole);
    let lost: Vec<_> = acked.keys().filter(|h| !listed.contains(h)).collect();
    assert!(lost.is_empty(), "answered writes lost in the kill: {lost:?}");
    assert!(whole["seq"].as_u64().expect("seq") >= last, "the version went back below an answered one");
    let delta = registry.get(&format!("?after={watched}")).await;
    assert_eq!(
        delta["whole"], false,
        "a watch from before the kill resumes with changes, not the whole list"
    );
    let next = registry.put(600_000, vec![entry("after-kill", dial(), "SERVING")]).await;
    assert!(
        next > whole["seq"].as_u64().expect("seq") && next > last,
        "versions go on above every answered one"
    );
}

#[tokio::test]
async fn a_torn_or_spoilt_last_record_is_cut_and_said_and_the_rest_stands() {
    let data = data_dir("torn");
    let registry = Registry::start(&data, &[]).await;
    for k in 0..5 {
        registry.put(600_000, vec![entry(&format!("h{k}"), dial(), "SERVING")]).await;
    }
    registry.kill().await;
    let log = data.join("log");
    let whole_length = std::fs::metadata(&log).expect("log").len();
    let garbage = [0x20, 0, 0, 0, 0xde, 0xad, 0xbe, 0xef, b'{', b'"', b's'];
    std::fs::OpenOptions::new().append(true).open(&log).expect("log").write_all(&garbage).expect("written");

    let mut registry = Registry::start(&data, &[]).await;
    let cut = registry.logged("torn or spoilt tail cut off the log").await;
    assert_eq!(cut["bytes"], garbage.len() as u64);
    assert_eq!(
        std::fs::metadata(&log).expect("log").len(),
        whole_length,
        "the file is cut back to whole records"
    );
    assert_eq!(names(&registry.get("").await).len(), 5);
    assert_eq!(registry.put(600_000, vec![entry("h5", dial(), "SERVING")]).await, 6);
    registry.kill().await;

    // A spoilt byte in the last record: that record goes, the others stay.
    let mut bytes = std::fs::read(&log).expect("log");
    let end = bytes.len() - 2;
    bytes[end] ^= 0xff;
    std::fs::write(&log, bytes).expect("written");
    let mut registry = Registry::start(&data, &[]).await;
    registry.logged("torn or spoilt tail cut off the log").await;
    let whole = registry.get("").await;
    assert_eq!(names(&whole), ["h0", "h1", "h2", "h3", "h4"]);
    assert_eq!(whole["seq"], 5);
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
    assert_eq!(names(&registry.get("").await), ["long"]);
    let other_history = registry.get("?after=99999").await;
    assert_eq!(other_history["whole"], true, "a version above the newest is another history");
}

#[tokio::test]
async fn bad_input_gets_a_plain_refusal_and_nothing_stored_is_lost() {
    let data = data_dir("bad");
    let flags = ["--header-timeout-ms", "500", "--max-connections", "100"];
    let registry = Registry::start(&data, &flags).await;
    registry.put(600_000, vec![entry("kept", dial(), "SERVING")]).await;
    let path = "/registry/instances";
    let big = format!("{{\"ttl_ms\":1000,\"hosts\":[],\"pad\":\"{}\"}}", "x".repeat(2 << 20));
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
        let read = soon(stream.read(&mut byte)).await;
        assert!(matches!(read, Ok(0) | Err(_)), "a silent connection is closed");
    }
    soon(async {
        while registry.descriptors() > before + 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(names(&registry.get("").await), ["kept"], "nothing stored is lost");
}
