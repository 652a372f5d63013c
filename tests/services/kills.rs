//! kill -9 amid writes to many services.

use super::*;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

const SERVICES: usize = 40;
const WRITERS: usize = 8;
/// Writes that are answered before the kill, at the least.
const ENOUGH: usize = 400;

/// Answered writes: the version by service and host.
type Answered = Arc<Mutex<HashMap<(String, String), u64>>>;

async fn write_for_ever(address: SocketAddr, writer: usize, answered: Answered, enough: Arc<Notify>) {
    for k in 0.. {
        let (service, host) = (format!("s{}", k % SERVICES), format!("w{writer}-{k}"));
        let body = json!({"ttl_ms": LONG_TTL_MS, "hosts": [entry(&host, dial(), "SERVING")]}).to_string();
        let Ok((200, text)) = call(address, "PUT", &path(&service), body.into_bytes()).await else { return };
        let seq = version(&serde_json::from_str(&text).expect("json"));
        let mut answered = answered.lock().expect("sound");
        answered.insert((service, host), seq);
        if answered.len() >= ENOUGH {
            enough.notify_one();
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nothing_answered_is_lost_in_any_service_and_no_version_is_given_twice() {
    let data = data_dir("services-kill");
    // Some kills come between a snapshot and the log that begins anew after it.
    let flags = ["--snapshot-every", "150"];
    let (answered, mut highest) = (Answered::default(), 0);
    for round in 0..3 {
        let registry = Registry::start(&data, &flags).await;
        let enough = Arc::new(Notify::new());
        let target = answered.lock().expect("sound").len();
        let writers: Vec<_> = (0..WRITERS)
            .map(|writer| {
                let writer = writer + round * WRITERS;
                tokio::spawn(write_for_ever(registry.address, writer, answered.clone(), enough.clone()))
            })
            .collect();
        within_deadline(async {
            while answered.lock().expect("sound").len() < target + ENOUGH {
                enough.notified().await;
            }
        })
        .await;
        let mut watched = BTreeMap::new();
        for k in 0..SERVICES {
            let service = format!("s{k}");
            watched.insert(service.clone(), version(&list(&registry, &service).await));
        }
        registry.kill().await;
        for writer in writers {
            within_deadline(writer).await.expect("no panic");
        }
        let registry = Registry::start(&data, &flags).await;
        highest = check(&registry, &answered, &watched, highest).await;
        registry.kill().await;
    }
}

/// Everything answered is there, watches go on, and a new version is above all that were given.
async fn check(
    registry: &Registry,
    answered: &Answered,
    watched: &BTreeMap<String, u64>,
    highest: u64,
) -> u64 {
    let answered = answered.lock().expect("sound").clone();
    let mut service_of = HashMap::new();
    for ((service, _), seq) in &answered {
        let first = service_of.entry(seq).or_insert(service);
        assert_eq!(*first, service, "version {seq} was answered in two services");
    }
    for (service, held) in watched {
        let page = list(registry, service).await;
        let listed = host_names(&page);
        let of_service = answered.iter().filter(|((of, _), _)| of == service);
        let newest = of_service.clone().map(|(_, seq)| *seq).max().unwrap_or(0);
        let lost: Vec<_> = of_service.filter(|((_, host), _)| !listed.contains(host)).collect();
        assert!(lost.is_empty(), "answered writes lost in the kill: {lost:?}");
        assert!(version(&page) >= newest, "a version went back");
        let delta = watch(registry.address, service, *held, 0).await;
        assert_eq!(delta["whole"], false, "a watch from before the kill resumes with changes");
    }
    let next = put(registry, "s0", "after-the-kill", "SERVING").await;
    assert!(next > highest && answered.values().all(|seq| next > *seq), "a version is given out again");
    put(registry, "s0", "after-the-kill", "DELETED").await
}
