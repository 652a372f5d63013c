//! The registry's figures, each against a baseline of the same run: `cargo bench --bench registry`.
//!
//! 1. Durable writes per second with group commit against one fsync per record.
//! 2. Time from a write to its arrival at 1,000 waiting watches (p50/p99), and memory per waiting watch.
//! 3. Start-up time with a log of 1,000,000 changes, before and after compaction.

#[path = "../tests/registry_rig/mod.rs"]
mod registry_rig;
#[path = "../tests/waits/mod.rs"]
mod waits;

use hdrhistogram::Histogram;
use registry_rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const WRITERS: usize = 64;
const WRITES_EACH: usize = 40;
const WATCHES: usize = 1000;
const ROUNDS: usize = 20;
const CHANGES: usize = 1_000_000;
const ENTRIES: usize = 10_000;
const LEASE_MS: u64 = 500;
const HANDOVERS: usize = 40;
const CALLS: usize = 200;

fn dial() -> SocketAddr {
    "127.0.0.1:9000".parse().expect("address")
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let each = writes_per_second("each").await;
    let group = writes_per_second("group").await;
    println!(
        "writes/s, {WRITERS} writers: one fsync each {each:.0}, group commit {group:.0}, ratio {:.1}",
        group / each
    );
    watches().await;
    whole_lists().await;
    handover().await;
    start_up().await;
}

async fn writes_per_second(sync: &str) -> f64 {
    let registry = Registry::start(&data_dir(&format!("bench-{sync}")), &["--sync", sync]).await;
    let started = Instant::now();
    let mut writers = Vec::new();
    for writer in 0..WRITERS {
        let address = registry.address;
        writers.push(tokio::spawn(async move {
            for k in 0..WRITES_EACH {
                let body = json!({"ttl_ms": 600_000, "hosts": [entry(&format!("w{writer}-{k}"), dial(), "SERVING")]});
                let answer = call(address, "PUT", "/registry/instances", body.to_string().into_bytes()).await;
                assert!(matches!(answer, Ok((200, _))), "{answer:?}");
            }
        }));
    }
    for writer in writers {
        writer.await.expect("no panic");
    }
    let rate = (WRITERS * WRITES_EACH) as f64 / started.elapsed().as_secs_f64();
    registry.kill().await;
    rate
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("proc");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("VmRSS");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

async fn watches() {
    let registry = Registry::start(&data_dir("bench-watch"), &[]).await;
    let pid = registry.child.id().expect("running");
    let mut seq = registry.put(600_000, vec![entry("w", dial(), "SERVING")]).await;
    let before = resident_kb(pid);
    let mut histogram = Histogram::<u64>::new(3).expect("histogram");
    let mut per_watch_kb = 0.0;
    let idle = registry.descriptors();
    for round in 0..ROUNDS {
        let (armed, mut armed_count) = tokio::sync::mpsc::unbounded_channel::<()>();
        let mut waiting = Vec::new();
        for _ in 0..WATCHES {
            let (address, armed) = (registry.address, armed.clone());
            waiting.push(tokio::spawn(async move {
                let path = format!("/registry/instances?after={seq}&wait_ms=60000");
                let call = call(address, "GET", &path, Vec::new());
                let _ = armed.send(());
                let (status, text) = call.await.expect("answered");
                assert_eq!(status, 200);
                (Instant::now(), serde_json::from_str::<Value>(&text).expect("json"))
            }));
        }
        for _ in 0..WATCHES {
            armed_count.recv().await.expect("armed");
        }
        // Until every watch has reached the registry and waits there, a write would race with them.
        while registry.descriptors() < idle + WATCHES {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        if round == 0 {
            per_watch_kb = (resident_kb(pid).saturating_sub(before)) as f64 / WATCHES as f64;
        }
        let written = Instant::now();
        // The share must differ from the held one, or the write is a renewal and no change.
        let share = 2.0 + round as f64;
        let mut changed = entry("w", dial(), "SERVING");
        changed["share"] = share.into();
        seq = registry.put(600_000, vec![changed]).await;
        for watch in waiting {
            let (at, page) = watch.await.expect("no panic");
            assert_eq!(page["seq"], seq, "each watch is answered with the change");
            histogram.record(at.duration_since(written).as_micros() as u64).expect("recorded");
        }
    }
    println!(
        "write to {WATCHES} watches, {ROUNDS} rounds: p50 {:.2} ms, p99 {:.2} ms; memory {per_watch_kb:.1} KiB per waiting watch",
        histogram.value_at_quantile(0.5) as f64 / 1000.0,
        histogram.value_at_quantile(0.99) as f64 / 1000.0
    );
    registry.kill().await;
}

/// After a failover every proxy asks for the whole list: made once for all that ask at one version, against made for
/// each, as a change before every call brings about.
async fn whole_lists() {
    let registry = Registry::start(&data_dir("bench-whole"), &[]).await;
    for batch in 0..ENTRIES / 1000 {
        let entries = (0..1000).map(|k| entry(&format!("h{}", batch * 1000 + k), dial(), "SERVING"));
        registry.put(600_000, entries.collect()).await;
    }
    let mut took = [Duration::ZERO; 2];
    for round in 0..CALLS {
        for (changed, took) in took.iter_mut().enumerate() {
            if changed == 1 {
                let mut other = entry("h0", dial(), "SERVING");
                other["share"] = (round as f64 + 2.0).into();
                registry.put(600_000, vec![other]).await;
            }
            let asked = Instant::now();
            let (status, text) = registry.call("GET", "/registry/instances", "").await;
            *took += asked.elapsed();
            assert!(status == 200 && text.len() > ENTRIES * 100);
        }
    }
    let [shared, anew] = took.map(|t| t.as_secs_f64() * 1000.0 / CALLS as f64);
    println!(
        "whole list of {ENTRIES}: made anew {anew:.2} ms, shared {shared:.2} ms a call, ratio {:.1}",
        anew / shared
    );
    registry.kill().await;
}

/// A holder dies; how long until another, which asks again when the answer says so, has the duty.
async fn handover() {
    let registry = Registry::start(&data_dir("bench-lease"), &[]).await;
    let mut histogram = Histogram::<u64>::new(3).expect("histogram");
    for round in 0..HANDOVERS {
        let ask = |holder: &str| {
            json!({"duty": format!("d{round}"), "holder": holder, "ttl_ms": LEASE_MS}).to_string()
        };
        assert_eq!(registry.call("PUT", "/registry/leases", &ask("dies")).await.0, 200);
        let died = Instant::now();
        loop {
            let (status, text) = registry.call("PUT", "/registry/leases", &ask("next")).await;
            if status == 200 {
                break;
            }
            let answer: Value = serde_json::from_str(&text).expect("json");
            let left = answer["left_ms"].as_u64().expect("left_ms");
            tokio::time::sleep(Duration::from_millis(left + 1)).await;
        }
        histogram.record(died.elapsed().as_micros() as u64).expect("recorded");
    }
    let over = |q| histogram.value_at_quantile(q) as f64 / 1000.0 / LEASE_MS as f64;
    println!(
        "death of a holder to the next grant, {HANDOVERS} times, over the TTL of {LEASE_MS} ms: p50 {:.3}, p99 {:.3}",
        over(0.5),
        over(0.99)
    );
    registry.kill().await;
}

async fn start_up() {
    let data = data_dir("bench-start");
    let never = (CHANGES * 2).to_string();
    let registry = Registry::start(&data, &["--snapshot-every", &never]).await;
    let hosts = 10_000;
    for batch in 0..CHANGES / 1000 {
        let entries = (0..1000)
            .map(|k| {
                let mut e = entry(&format!("h{}", (batch * 1000 + k) % hosts), dial(), "SERVING");
                e["share"] = (batch as f64).into();
                e
            })
            .collect();
        registry.put(600_000, entries).await;
    }
    registry.kill().await;
    let log_mb = std::fs::metadata(data.join("log")).expect("log").len() as f64 / 1e6;
    let timed = |flags: Vec<String>| {
        let data = data.clone();
        async move {
            let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
            let started = Instant::now();
            let registry = Registry::start(&data, &flags).await;
            let took = started.elapsed();
            let seq = registry.get("").await["seq"].as_u64().expect("seq");
            registry.kill().await;
            (took, seq)
        }
    };
    let (long, seq_long) = timed(vec!["--snapshot-every".into(), (CHANGES * 2).to_string()]).await;
    // This start finds more changes than a snapshot holds and compacts; the next one reads the snapshot.
    timed(vec!["--snapshot-every".into(), "1000".into()]).await;
    let (short, seq_short) = timed(vec![]).await;
    assert!(seq_short > seq_long, "versions go on above those before the compaction");
    println!(
        "start with {CHANGES} changes ({log_mb:.0} MB of log): {:.0} ms; after compaction: {:.0} ms; ratio {:.1}",
        long.as_secs_f64() * 1000.0,
        short.as_secs_f64() * 1000.0,
        long.as_secs_f64() / short.as_secs_f64()
    );
}
