//! Durability of writes and versions across a kill, a torn or corrupted log and a lost data directory.

use super::{LIST_PATH, dial, version};
use crate::registry_rig::*;
use serde_json::Value;
use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// The log line of a start that has cut off the end of the log.
const TAIL_CUT_OFF: &str = "torn or spoilt tail cut off the log";

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_kill_loses_no_answered_write_and_later_versions_are_above_all_answered_ones() {
    let data = data_dir("kill");
    let registry = Registry::start(&data, &[]).await;
    let answered: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let enough = Arc::new(Notify::new());
    let mut writers = Vec::new();
    for writer in 0..16 {
        let (answered, enough, address) = (answered.clone(), enough.clone(), registry.address);
        writers.push(tokio::spawn(async move {
            for k in 0.. {
                let host = format!("w{writer}-{k}");
                let body = serde_json::json!({"ttl_ms": 600_000, "hosts": [entry(&host, dial(), "SERVING")]});
                let answer = call(address, "PUT", LIST_PATH, body.to_string().into_bytes()).await;
                let Ok((200, text)) = answer else { return };
                let page: Value = serde_json::from_str(&text).expect("the answer is JSON");
                let mut answered = answered.lock().expect("the lock is not poisoned");
                answered.insert(host, version(&page));
                if answered.len() >= 300 {
                    enough.notify_one();
                }
            }
        }));
    }
    within_deadline(enough.notified()).await;
    // Version of a watch before the kill, which must resume from there with a delta.
    let watched_version = version(&registry.get("").await);
    registry.kill().await;
    for writer in writers {
        within_deadline(writer).await.expect("the writer task does not panic");
    }
    let answered = answered.lock().expect("the lock is not poisoned").clone();
    let newest_answered = *answered.values().max().expect("some writes were answered");

    let registry = Registry::start(&data, &[]).await;
    let full_list = registry.get("").await;
    let listed = host_names(&full_list);
    let lost: Vec<_> = answered.keys().filter(|host| !listed.contains(host)).collect();
    assert!(lost.is_empty(), "the kill lost answered writes: {lost:?}");
    assert!(version(&full_list) >= newest_answered, "the version is below that of an answered write");
    let delta = registry.get(&format!("?after={watched_version}")).await;
    assert_eq!(
        delta["whole"], false,
        "a watch from before the kill must resume with a delta, not with the full list"
    );
    let next = registry.put(600_000, vec![entry("after-kill", dial(), "SERVING")]).await;
    assert!(
        next > version(&full_list) && next > newest_answered,
        "the version of a new write must be above all earlier ones"
    );
}

#[tokio::test]
async fn a_torn_or_corrupted_last_record_is_cut_off_and_logged_and_the_others_are_kept() {
    let data = data_dir("torn");
    let registry = Registry::start(&data, &[]).await;
    let mut newest_intact = 0;
    for k in 0..5 {
        newest_intact = registry.put(600_000, vec![entry(&format!("h{k}"), dial(), "SERVING")]).await;
    }
    registry.kill().await;
    let log = data.join("log");
    let intact = std::fs::read(&log).expect("the log is read");
    let torn_record = [0x20, 0, 0, 0, 0xde, 0xad, 0xbe, 0xef, b'{', b'"', b's'];
    let mut file = std::fs::OpenOptions::new().append(true).open(&log).expect("the log is opened");
    file.write_all(&torn_record).expect("the torn record is appended");
    drop(file);

    let mut registry = Registry::start(&data, &[]).await;
    let tail_cut_off = registry.wait_for_log(TAIL_CUT_OFF).await;
    assert_eq!(tail_cut_off["bytes"], torn_record.len() as u64);
    let recovered = std::fs::read(&log).expect("the log is read");
    let (kept, start) = recovered.split_at(intact.len());
    assert!(
        kept == intact && start[8..].starts_with(b"{\"start\":"),
        "the log must have the intact records and the record of the new start"
    );
    assert_eq!(host_names(&registry.get("").await).len(), 5);
    let delta = registry.get(&format!("?after={newest_intact}")).await;
    assert_eq!((&delta["whole"], &delta["hosts"]), (&false.into(), &serde_json::json!([])));
    let lost_version = registry.put(600_000, vec![entry("h5", dial(), "SERVING")]).await;
    assert!(lost_version > newest_intact);
    registry.kill().await;

    // A corrupted byte in the last record: this record is cut off, the others are kept.
    let mut bytes = std::fs::read(&log).expect("the log is read");
    let end = bytes.len() - 2;
    bytes[end] ^= 0xff;
    std::fs::write(&log, bytes).expect("the log is written");
    let mut registry = Registry::start(&data, &[]).await;
    registry.wait_for_log(TAIL_CUT_OFF).await;
    let full_list = registry.get("").await;
    assert_eq!(host_names(&full_list), ["h0", "h1", "h2", "h3", "h4"]);
    // The version of the lost record was answered. It is not assigned again, and a client that has it gets the full
    // list.
    assert!(version(&full_list) > lost_version);
    assert_eq!(registry.get(&format!("?after={lost_version}")).await["whole"], true);
    assert_eq!(registry.get(&format!("?after={newest_intact}")).await["whole"], false);
}

#[tokio::test]
async fn after_a_lost_data_directory_versions_are_above_the_old_ones_and_old_ones_get_the_full_list() {
    let before = Registry::start(&data_dir("lost-before"), &[]).await;
    let mut old_version = 0;
    for k in 0..50 {
        old_version = before.put(600_000, vec![entry(&format!("h{k}"), dial(), "SERVING")]).await;
    }
    before.kill().await;
    let after = Registry::start(&data_dir("lost-after"), &[]).await;
    let seq = after.put(600_000, vec![entry("new", dial(), "SERVING")]).await;
    assert!(seq > old_version, "a version of the old history was assigned again");
    let page = after.get(&format!("?after={old_version}")).await;
    assert_eq!((&page["whole"], host_names(&page)), (&true.into(), vec!["new".to_string()]));
}
