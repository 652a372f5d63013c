//! What outlives a kill, a torn log or a lost directory.

use super::dial;
use crate::registry_rig::*;
use serde_json::Value;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

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
    within_deadline(enough.notified()).await;
    // A watcher's place before the kill: it must go on from there with changes only.
    let watched = registry.get("").await["seq"].as_u64().expect("seq");
    registry.kill().await;
    for writer in writers {
        within_deadline(writer).await.expect("no panic");
    }
    let acked = acked.lock().expect("sound").clone();
    let last = *acked.values().max().expect("some were answered");

    let registry = Registry::start(&data, &[]).await;
    let whole = registry.get("").await;
    let listed = host_names(&whole);
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
    let mut answered = 0;
    for k in 0..5 {
        answered = registry.put(600_000, vec![entry(&format!("h{k}"), dial(), "SERVING")]).await;
    }
    registry.kill().await;
    let log = data.join("log");
    let whole = std::fs::read(&log).expect("log");
    let garbage = [0x20, 0, 0, 0, 0xde, 0xad, 0xbe, 0xef, b'{', b'"', b's'];
    std::fs::OpenOptions::new().append(true).open(&log).expect("log").write_all(&garbage).expect("written");

    let mut registry = Registry::start(&data, &[]).await;
    let cut = registry.wait_for_log("torn or spoilt tail cut off the log").await;
    assert_eq!(cut["bytes"], garbage.len() as u64);
    let cut_back = std::fs::read(&log).expect("log");
    let (kept, start) = cut_back.split_at(whole.len());
    assert!(
        kept == whole && start[8..].starts_with(b"{\"start\":"),
        "back to whole records, and the new start"
    );
    assert_eq!(host_names(&registry.get("").await).len(), 5);
    let resumed = registry.get(&format!("?after={answered}")).await;
    assert_eq!((&resumed["whole"], &resumed["hosts"]), (&false.into(), &serde_json::json!([])));
    let spoilt = registry.put(600_000, vec![entry("h5", dial(), "SERVING")]).await;
    assert!(spoilt > answered);
    registry.kill().await;

    // A spoilt byte in the last record: that record goes, the others stay.
    let mut bytes = std::fs::read(&log).expect("log");
    let end = bytes.len() - 2;
    bytes[end] ^= 0xff;
    std::fs::write(&log, bytes).expect("written");
    let mut registry = Registry::start(&data, &[]).await;
    registry.wait_for_log("torn or spoilt tail cut off the log").await;
    let whole = registry.get("").await;
    assert_eq!(host_names(&whole), ["h0", "h1", "h2", "h3", "h4"]);
    // The version of the lost record was answered: it is not given out again, and who holds it hears of the loss.
    assert!(whole["seq"].as_u64().expect("seq") > spoilt);
    assert_eq!(registry.get(&format!("?after={spoilt}")).await["whole"], true);
    assert_eq!(registry.get(&format!("?after={answered}")).await["whole"], false);
}

#[tokio::test]
async fn a_lost_directory_is_another_history_with_versions_of_its_own() {
    let before = Registry::start(&data_dir("lost-before"), &[]).await;
    let mut held = 0;
    for k in 0..50 {
        held = before.put(600_000, vec![entry(&format!("h{k}"), dial(), "SERVING")]).await;
    }
    before.kill().await;
    let after = Registry::start(&data_dir("lost-after"), &[]).await;
    let seq = after.put(600_000, vec![entry("new", dial(), "SERVING")]).await;
    assert!(seq > held, "no version of the old history is met again");
    let page = after.get(&format!("?after={held}")).await;
    assert_eq!((&page["whole"], host_names(&page)), (&true.into(), vec!["new".to_string()]));
}
