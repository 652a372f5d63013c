//! The route table's cost at the registry, each figure against a baseline of the same run: `cargo bench --bench routes`.
//!
//! 1. CPU and bytes a second at 300 reporting proxies, against as many watches of the list.
//! 2. Time of a rollout to all of them, over the time that its stages stand.
//! 3. Latency of writes and watches while a proposal is judged, against that without.

#[path = "../tests/registry_rig/mod.rs"]
mod registry_rig;
#[path = "../tests/replay_rig/mod.rs"]
mod replay_rig;
#[path = "../tests/routes_rig/mod.rs"]
mod routes_rig;
#[path = "../tests/waits/mod.rs"]
mod waits;

use hdrhistogram::Histogram;
use registry_rig::*;
use routes_rig::*;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

const PROXIES: usize = 300;
const BACKENDS: usize = 60;
const MEASURED: Duration = Duration::from_secs(30);
const STAND_MS: u64 = 3000;
const WATCHES: usize = 100;
const WRITES: usize = 500;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    cost().await;
    rollout().await;
    judging().await;
}

/// Seconds of CPU that a process has taken, in all.
fn cpu(registry: &Registry) -> f64 {
    let pid = registry.child.id().expect("running");
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("proc");
    let after_name = stat.rsplit(')').next().expect("a name");
    let ticks = after_name.split_whitespace().skip(11).take(2).map(|t| t.parse::<f64>().expect("a number"));
    ticks.sum::<f64>() / 100.0
}

/// CPU in per cent of a core, and bytes a second, from now on.
async fn taken(registry: &Registry) -> (f64, f64) {
    let (before, bytes, began) = (cpu(registry), TRANSFERRED_BYTES.load(Relaxed), Instant::now());
    sleep(MEASURED).await;
    let seconds = began.elapsed().as_secs_f64();
    (100.0 * (cpu(registry) - before) / seconds, (TRANSFERRED_BYTES.load(Relaxed) - bytes) as f64 / seconds)
}

async fn cost() {
    let registry = start_route_registry(&data_dir("bench-routes-cost"), "").await;
    register_backends(&registry, BACKENDS).await;
    let mut lists = JoinSet::new();
    let (seq, at) = (registry.get("").await["seq"].as_u64().expect("seq"), registry.address);
    for _ in 0..PROXIES {
        lists.spawn(async move {
            let (mut line, path) =
                (RegistryConnection::default(), format!("/registry/instances?after={seq}&wait_ms=1000"));
            loop {
                let answer = line.call(at, "GET", &path, Vec::new()).await;
                assert!(matches!(answer, Ok((200, _))), "{answer:?}");
            }
        });
    }
    sleep(Duration::from_secs(2)).await;
    let (list_cpu, list_bytes) = taken(&registry).await;
    lists.shutdown().await;
    let fleet = Fleet::start(at, PROXIES, BACKENDS, Duration::from_secs(5));
    sleep(Duration::from_secs(10)).await;
    let reports = fleet.accepted_reports.load(Relaxed);
    let (cpu, bytes) = taken(&registry).await;
    let rate = (fleet.accepted_reports.load(Relaxed) - reports) as f64 / MEASURED.as_secs_f64();
    println!(
        "{PROXIES} proxies, {BACKENDS} backends, {rate:.1} reports/s: {cpu:.2} % of a core, {:.1} kB/s; their list watches \
         (1 s each): {list_cpu:.2} %, {:.1} kB/s; ratio {:.2} and {:.2}",
        bytes / 1e3,
        list_bytes / 1e3,
        cpu / list_cpu,
        bytes / list_bytes
    );
    registry.kill().await;
}

async fn rollout() {
    let keys = format!("judge = false\nreport_ms = 1000\ngrace_ms = 3000\nstand_ms = {STAND_MS}");
    let registry = start_route_registry(&data_dir("bench-routes-rollout"), &keys).await;
    register_backends(&registry, BACKENDS).await;
    let fleet = Fleet::start(registry.address, PROXIES, BACKENDS, Duration::from_secs(1));
    sleep(Duration::from_secs(8)).await;
    let token = acquire(&registry, "operator").await;
    let began = Instant::now();
    let (status, answer) = propose(&registry, &proposal(0, &[("s1", 0.5)], token)).await;
    assert_eq!(status, 200, "{answer}");
    let revision = answer["revision"].as_u64().expect("a revision");
    fleet.wait_for_revision(revision).await;
    let held = began.elapsed().as_secs_f64();
    wait_for_page(&registry, "/registry/routes", |page| page["in_force"]["revision"] == revision).await;
    let in_force = began.elapsed().as_secs_f64();
    let stands = 4.0 * STAND_MS as f64 / 1000.0;
    println!(
        "rollout to {PROXIES}, four stages of {STAND_MS} ms, reports every 1 s: all hold it after {held:.1} s, in force \
         after {in_force:.1} s, ratio to the stands {:.2}",
        in_force / stands
    );
    registry.kill().await;
}

async fn judging() {
    // One registry beside the other: what judges is measured between two rounds of the one that does not.
    let idle = start_route_registry(&data_dir("bench-routes-idle"), "").await;
    let registry = start_route_registry(&data_dir("bench-routes-judging"), "judge_seeds = 100").await;
    for each in [&idle, &registry] {
        register_backends(each, 8).await;
        latencies(each).await;
    }
    for segment in record_segments(120.0) {
        let answer = call(registry.address, "PUT", "/registry/traces", segment).await;
        assert!(matches!(answer, Ok((200, _))), "{answer:?}");
    }
    let first = latencies(&idle).await;
    let token = acquire(&registry, "operator").await;
    let (status, answer) = propose(&registry, &proposal(0, &[("s1", 0.8)], token)).await;
    assert_eq!(status, 200, "{answer}");
    let judged = |page: &serde_json::Value| page["judging"]["progress"].as_f64() > Some(0.0);
    wait_for_page(&registry, "/registry/routes", judged).await;
    let (before, began) = (cpu(&registry), Instant::now());
    let with = latencies(&registry).await;
    let page = page(&registry, "/registry/routes").await;
    assert!(judged(&page), "it was judged all the while: {page}");
    let cores = (cpu(&registry) - before) / began.elapsed().as_secs_f64();
    registry.kill().await;
    let second = latencies(&idle).await;
    println!("without a judging, during one ({cores:.2} cores) and without again, ms:");
    for (k, name) in ["write p50", "write p99", "watch p50", "watch p99"].iter().enumerate() {
        let ratio = with[k] / ((first[k] + second[k]) / 2.0);
        println!("  {name}: {:.2}, {:.2}, {:.2}, ratio {ratio:.2}", first[k], with[k], second[k]);
    }
    idle.kill().await;
}

/// p50 and p99 of writes, and of what they take to reach 100 waiting watches, in ms.
async fn latencies(registry: &Registry) -> [f64; 4] {
    let mut histograms = [Histogram::<u64>::new(3).expect("one"), Histogram::<u64>::new(3).expect("one")];
    let (told, mut heard) = tokio::sync::mpsc::unbounded_channel();
    let (at, mut seq) = (registry.address, registry.get("").await["seq"].as_u64().expect("seq"));
    let mut watches = JoinSet::new();
    for _ in 0..WATCHES {
        let told = told.clone();
        watches.spawn(async move {
            let (mut line, mut after) = (RegistryConnection::default(), seq);
            loop {
                let path = format!("/registry/instances?after={after}&wait_ms=60000");
                let (_, text) = line.call(at, "GET", &path, Vec::new()).await.expect("answered");
                let page: serde_json::Value = serde_json::from_str(&text).expect("JSON");
                after = page["seq"].as_u64().expect("seq");
                let _ = told.send((after, Instant::now()));
            }
        });
    }
    let mut line = RegistryConnection::default();
    for n in 0..WRITES {
        sleep(Duration::from_millis(10)).await;
        let mut changed = entry("s0", "127.0.0.1:9".parse().expect("address"), "SERVING");
        changed["block"] = (seq % 50_000 + n as u64).into();
        changed["class"] = "m".into();
        let body = serde_json::json!({"ttl_ms": 86_400_000, "hosts": [changed]}).to_string().into_bytes();
        let began = Instant::now();
        let (status, text) = line.call(at, "PUT", "/registry/instances", body).await.expect("answered");
        assert_eq!(status, 200, "{text}");
        histograms[0].record(began.elapsed().as_micros() as u64).expect("recorded");
        seq = serde_json::from_str::<serde_json::Value>(&text).expect("JSON")["seq"].as_u64().expect("seq");
        for _ in 0..WATCHES {
            let (after, when) = heard.recv().await.expect("told");
            assert_eq!(after, seq);
            histograms[1].record(when.duration_since(began).as_micros() as u64).expect("recorded");
        }
    }
    watches.shutdown().await;
    let [writes, watched] = &histograms;
    [(writes, 0.5), (writes, 0.99), (watched, 0.5), (watched, 0.99)]
        .map(|(histogram, q)| histogram.value_at_quantile(q) as f64 / 1000.0)
}
