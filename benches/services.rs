//! What a service saves: lists, and the watches that a change wakes, of 230 services of 18 entries against one list of
//! them all. `cargo bench --bench services`.

#[path = "../tests/registry_rig/mod.rs"]
mod registry_rig;
#[path = "../tests/waits/mod.rs"]
mod waits;

use registry_rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinSet;

const SERVICES: usize = 230;
const ENTRIES_EACH: usize = 18;
const WATCHES_EACH: usize = 4;
const ROUNDS: usize = 30;
const TTL_MS: u64 = 3_600_000;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let one = measure(|_| String::new(), SERVICES * WATCHES_EACH).await;
    let each = measure(|service| format!("?service=s{service}"), WATCHES_EACH).await;
    let ratio = |all: f64, of_service: f64| all / of_service;
    println!(
        "{SERVICES} services of {ENTRIES_EACH} entries, {WATCHES_EACH} watches each; one list, own lists, ratio"
    );
    for (what, all, own) in [
        ("bytes of a list", one.list_bytes, each.list_bytes),
        ("watches woken by a change", one.woken, each.woken),
        ("bytes written to watches by a change", one.watch_bytes, each.watch_bytes),
        ("registry's processor time of a change, ms", one.processor_ms, each.processor_ms),
    ] {
        println!("{what}: {all:.1}, {own:.1}, {:.0}", ratio(all, own));
    }
}

struct Figures {
    list_bytes: f64,
    woken: f64,
    watch_bytes: f64,
    processor_ms: f64,
}

fn host(service: usize, k: usize, share: f64) -> Value {
    let dial: SocketAddr = "127.0.0.1:9000".parse().expect("address");
    let mut host = entry(&format!("backend-{service}-{k}"), dial, "SERVING");
    host["share"] = share.into();
    host
}

async fn register(registry: &Registry, query: &str, hosts: Vec<Value>) {
    let body = json!({"ttl_ms": TTL_MS, "hosts": hosts}).to_string();
    let (status, text) = registry.call("PUT", &format!("/registry/instances{query}"), &body).await;
    assert_eq!(status, 200, "{text}");
}

/// Nanoseconds that all threads of a process have run.
fn processor_ns(pid: u32) -> u64 {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).expect("proc");
    let ran = threads.map(|thread| {
        let text =
            std::fs::read_to_string(thread.expect("a thread").path().join("schedstat")).expect("schedstat");
        text.split_whitespace().next().expect("a number").parse::<u64>().expect("a number")
    });
    ran.sum()
}

/// A watch that goes on for ever; each answer's length is told.
async fn follow(address: SocketAddr, query: String, told: UnboundedSender<usize>) {
    let sign = if query.is_empty() { '?' } else { '&' };
    let (mut line, mut after) = (RegistryConnection::default(), None);
    loop {
        let path = match after {
            None => format!("/registry/instances{query}"),
            Some(after) => format!("/registry/instances{query}{sign}after={after}&wait_ms=60000"),
        };
        let (status, text) = line.call(address, "GET", &path, Vec::new()).await.expect("answered");
        assert_eq!(status, 200, "{text}");
        after = serde_json::from_str::<Value>(&text).expect("json")["seq"].as_u64();
        if told.send(text.len()).is_err() {
            return;
        }
    }
}

async fn receive(answers: &mut UnboundedReceiver<usize>, count: usize) -> usize {
    let mut bytes = 0;
    for _ in 0..count {
        bytes += answers.recv().await.expect("answered");
    }
    bytes
}

/// `query` is that of a service's calls; a change is expected to wake so many watches.
async fn measure(query: impl Fn(usize) -> String, expected: usize) -> Figures {
    let registry = Registry::start(&data_dir("bench-services"), &[]).await;
    for service in 0..SERVICES {
        register(&registry, &query(service), (0..ENTRIES_EACH).map(|k| host(service, k, 1.0)).collect())
            .await;
    }
    let (told, mut answers) = unbounded_channel();
    let mut watches = JoinSet::new();
    for service in 0..SERVICES * WATCHES_EACH {
        watches.spawn(follow(registry.address, query(service % SERVICES), told.clone()));
    }
    let list_bytes = receive(&mut answers, SERVICES * WATCHES_EACH).await as f64;
    let pid = registry.child.id().expect("running");
    let before = processor_ns(pid);
    let mut watch_bytes = 0;
    for round in 0..ROUNDS {
        register(&registry, &query(round), vec![host(round, 0, round as f64 + 2.0)]).await;
        watch_bytes += receive(&mut answers, expected).await;
    }
    let processor_ms = (processor_ns(pid) - before) as f64 / 1e6;
    // One more change than were counted: what the others had woken would have been told before it.
    register(&registry, &query(0), vec![host(0, 1, 9.0)]).await;
    receive(&mut answers, expected).await;
    let more = std::iter::from_fn(|| answers.try_recv().ok()).count();
    watches.shutdown().await;
    registry.kill().await;
    let rounds = ROUNDS as f64;
    Figures {
        list_bytes: list_bytes / (SERVICES * WATCHES_EACH) as f64,
        woken: expected as f64 + more as f64 / rounds,
        watch_bytes: watch_bytes as f64 / rounds,
        processor_ms: processor_ms / rounds,
    }
}
