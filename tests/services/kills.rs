//! A registry that is killed during writes to many services.

use super::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

const SERVICES: usize = 40;
const WRITERS: usize = 8;
/// Minimum number of writes that are answered between a start and the kill.
const WRITES_BEFORE_KILL: usize = 400;

/// The versions of the answered writes, by service and host.
type AnsweredWrites = Arc<Mutex<HashMap<(String, String), u64>>>;

fn lock(answered: &AnsweredWrites) -> MutexGuard<'_, HashMap<(String, String), u64>> {
    answered.lock().expect("the lock is not poisoned")
}

/// Registers hosts until a call fails. Notifies `enough` after each answer once enough writes were answered in total.
async fn write_until_failure(
    address: SocketAddr,
    writer: usize,
    answered: AnsweredWrites,
    enough: Arc<Notify>,
) {
    for k in 0.. {
        let (service, host) = (format!("s{}", k % SERVICES), format!("w{writer}-{k}"));
        let body = json!({"ttl_ms": LONG_TTL_MS, "hosts": [entry(&host, dial(), "SERVING")]}).to_string();
        let answer = call(address, "PUT", &list_path(&service), body.into_bytes()).await;
        let Ok((200, text)) = answer else { return };
        let seq = version(&serde_json::from_str(&text).expect("the answer is JSON"));
        let mut answered = lock(&answered);
        answered.insert((service, host), seq);
        if answered.len() >= WRITES_BEFORE_KILL {
            enough.notify_one();
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn kills_lose_no_answered_write_of_any_service_and_no_version_is_assigned_twice() {
    let data = data_dir("services-kill");
    // With frequent snapshots some kills happen between a snapshot and the truncation of the log.
    let flags = ["--snapshot-every", "150"];
    let (answered, mut highest) = (AnsweredWrites::default(), 0);
    for round in 0..3 {
        let registry = Registry::start(&data, &flags).await;
        let enough = Arc::new(Notify::new());
        let answered_before = lock(&answered).len();
        let writers: Vec<_> = (0..WRITERS)
            .map(|writer| {
                let writer = writer + round * WRITERS;
                tokio::spawn(write_until_failure(registry.address, writer, answered.clone(), enough.clone()))
            })
            .collect();
        within_deadline(async {
            while lock(&answered).len() < answered_before + WRITES_BEFORE_KILL {
                enough.notified().await;
            }
        })
        .await;
        let mut watched_versions = BTreeMap::new();
        for k in 0..SERVICES {
            let service = format!("s{k}");
            watched_versions.insert(service.clone(), version(&list(&registry, &service).await));
        }
        registry.kill().await;
        for writer in writers {
            within_deadline(writer).await.expect("the writer task does not panic");
        }
        let registry = Registry::start(&data, &flags).await;
        highest = check_after_kill(&registry, &answered, &watched_versions, highest).await;
        registry.kill().await;
    }
}

/// Checks that every answered write is listed, that watches resume with changes, and that a new version is above all
/// earlier ones. Returns the newest version.
async fn check_after_kill(
    registry: &Registry,
    answered: &AnsweredWrites,
    watched_versions: &BTreeMap<String, u64>,
    highest: u64,
) -> u64 {
    let answered = lock(answered).clone();
    let mut service_of_version = HashMap::new();
    for ((service, _), seq) in &answered {
        let first = service_of_version.entry(seq).or_insert(service);
        assert_eq!(*first, service, "version {seq} was answered in two services");
    }
    for (service, watched_version) in watched_versions {
        let page = list(registry, service).await;
        let listed = host_names(&page);
        let of_service = answered.iter().filter(|((of, _), _)| of == service);
        let newest = of_service.clone().map(|(_, seq)| *seq).max().unwrap_or(0);
        let lost: Vec<_> = of_service.filter(|((_, host), _)| !listed.contains(host)).collect();
        assert!(lost.is_empty(), "the kill lost answered writes: {lost:?}");
        assert!(version(&page) >= newest, "the version is below that of an answered write");
        let delta = watch(registry.address, service, *watched_version, 0).await;
        assert_eq!(delta["whole"], false, "a watch from before the kill must resume with a delta");
    }
    let next = put(registry, "s0", "after-the-kill", "SERVING").await;
    assert!(
        next > highest && answered.values().all(|seq| next > *seq),
        "the new version is not above all earlier ones"
    );
    put(registry, "s0", "after-the-kill", "DELETED").await
}
