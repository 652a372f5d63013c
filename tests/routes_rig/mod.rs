//! Simulated proxies against a registry process: each watches its table, applies newer ones and sends generated
//! reports. Tests of the registry's side and benchmarks use it.
#![allow(dead_code)]

mod records;

#[allow(unused_imports)]
pub use records::{record_segments, shift_packed};

use crate::registry_rig::{Registry, RegistryConnection, entry};
use crate::waits::within_deadline;
use load_balancer::route_table::{Report, Weights, Witness};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Writes a configuration file with these keys under `[routes]`, and returns the flags for a registry that reads it and
/// hosts the route table.
pub fn route_table_flags(data: &Path, keys: &str) -> [String; 2] {
    std::fs::create_dir_all(data).expect("the data directory is created");
    let file = data.join("registry.toml");
    std::fs::write(&file, format!("[routes]\nenabled = true\n{keys}\n"))
        .expect("the configuration file is written");
    ["--config".into(), file.display().to_string()]
}

/// Starts a registry that hosts the route table, with these keys under `[routes]`.
pub async fn start_route_registry(data: &Path, keys: &str) -> Registry {
    start_route_registry_with_flags(data, keys, &[]).await
}

/// Starts a registry that hosts the route table, with these keys under `[routes]` and further flags.
pub async fn start_route_registry_with_flags(data: &Path, keys: &str, more: &[&str]) -> Registry {
    let flags = route_table_flags(data, keys);
    Registry::start(data, &[&flags.each_ref().map(String::as_str), more].concat()).await
}

/// Registers a number of backends, named `s0`, `s1` and so on.
pub async fn register_backends(registry: &Registry, backends: usize) {
    let backend = |n: usize| {
        let mut entry =
            entry(&format!("s{n}"), "127.0.0.1:9".parse().expect("the address is valid"), "SERVING");
        entry["class"] = "m".into();
        entry
    };
    registry.put(86_400_000, (0..backends).map(backend).collect()).await;
}

/// Acquires the duty `routes` for a holder, and returns its fencing token.
pub async fn acquire(registry: &Registry, holder: &str) -> u64 {
    let lease = json!({"duty": "routes", "holder": holder, "ttl_ms": 600_000}).to_string();
    let (status, text) = registry.call("PUT", "/registry/leases", &lease).await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str::<Value>(&text).expect("the answer is JSON")["token"]
        .as_u64()
        .expect("the answer has a token")
}

/// The body of a proposal of weights by backend, made from revision `from`.
pub fn proposal(from: u64, weights: &[(&str, f64)], token: u64) -> Value {
    let weights: BTreeMap<&str, f64> = weights.iter().copied().collect();
    let fence = json!({"duty": "routes", "token": token});
    json!({"from": from, "weights": {"backends": weights}, "by": "operator", "fence": fence})
}

/// Sends a proposal, and returns the status and the answer as JSON, or as a string if it is text.
pub async fn propose(registry: &Registry, body: &Value) -> (u16, Value) {
    let (status, text) = registry.call("PUT", "/registry/routes", &body.to_string()).await;
    (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
}

/// The revision in force according to the state page.
pub fn in_force(page: &Value) -> u64 {
    page["in_force"]["revision"].as_u64().expect("the page has a revision in force")
}

/// Sends a proposal, asserts that it is accepted, and returns its revision.
pub async fn propose_accepted(registry: &Registry, body: Value) -> u64 {
    let (status, answer) = propose(registry, &body).await;
    assert_eq!(status, 200, "{answer}");
    answer["revision"].as_u64().expect("the answer has a revision")
}

/// Reads the page at a path of a registry as JSON.
pub async fn page(registry: &Registry, path: &str) -> Value {
    let (status, text) = registry.call("GET", path, "").await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("the page is JSON")
}

/// Waits until the page at a path fulfils a condition, and returns the page.
pub async fn wait_for_page(registry: &Registry, path: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let mut last = Value::Null;
    let wait = async {
        loop {
            last = page(registry, path).await;
            if condition(&last) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(crate::waits::TEST_DEADLINE, wait).await.is_err() {
        panic!("{path} stays at {last:#}");
    }
    last
}

/// The table that a simulated proxy has in force.
#[derive(Clone, Default)]
pub struct AppliedTable {
    /// Whether the proxy has received a table.
    pub received: bool,
    pub revision: u64,
    pub digest: String,
    pub weights: Weights,
}

/// A fleet of simulated proxies.
pub struct Fleet {
    registry: watch::Sender<SocketAddr>,
    applied: Vec<Arc<Mutex<AppliedTable>>>,
    /// Number of answers with an older table than the proxy had.
    pub older_tables: Arc<AtomicU64>,
    /// Number of reports that the registry accepted.
    pub accepted_reports: Arc<AtomicU64>,
    tasks: JoinSet<()>,
}

fn lock(applied: &Mutex<AppliedTable>) -> MutexGuard<'_, AppliedTable> {
    applied.lock().expect("the lock is not poisoned")
}

impl Fleet {
    /// Starts proxies that watch the registry at an address and report on `backends` backends at an interval.
    pub fn start(registry: SocketAddr, proxies: usize, backends: usize, interval: Duration) -> Fleet {
        let mut fleet = Fleet {
            registry: watch::Sender::new(registry),
            applied: (0..proxies).map(|_| Arc::default()).collect(),
            older_tables: Arc::default(),
            accepted_reports: Arc::default(),
            tasks: JoinSet::new(),
        };
        for n in 0..proxies {
            let (applied, registry) = (fleet.applied[n].clone(), fleet.registry.subscribe());
            let older_tables = fleet.older_tables.clone();
            fleet.tasks.spawn(watch_table(n, applied.clone(), registry.clone(), older_tables));
            let accepted = fleet.accepted_reports.clone();
            fleet.tasks.spawn(send_reports(n, (proxies, backends), interval, applied, registry, accepted));
        }
        fleet
    }

    /// Directs all proxies to a registry at another address.
    pub fn set_registry(&self, registry: SocketAddr) {
        self.registry.send_replace(registry);
    }

    /// Number of proxies that have a revision in force.
    pub fn count_with_revision(&self, revision: u64) -> usize {
        self.applied.iter().filter(|applied| lock(applied).revision == revision).count()
    }

    /// Waits until all proxies have a revision in force.
    pub async fn wait_for_revision(&self, revision: u64) {
        within_deadline(async {
            while self.count_with_revision(revision) < self.applied.len() {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
    }
}

fn proxy_name(n: usize) -> String {
    format!("p{n}")
}

/// Watches the table of a proxy, applies newer ones, and counts answers with older ones.
async fn watch_table(
    n: usize,
    applied: Arc<Mutex<AppliedTable>>,
    registry: watch::Receiver<SocketAddr>,
    older_tables: Arc<AtomicU64>,
) {
    let mut line = RegistryConnection::default();
    loop {
        let mut path = format!("/registry/routes?name={}&generation=1", proxy_name(n));
        if let Some(applied) = Some(lock(&applied)).filter(|applied| applied.received) {
            path += &format!("&after={}&wait_ms=5000", applied.revision);
        }
        let address = *registry.borrow();
        let Ok((200, text)) = line.call(address, "GET", &path, Vec::new()).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let page: Value = serde_json::from_str(&text).expect("the table is JSON");
        let (revision, mut applied) =
            (page["revision"].as_u64().expect("the table has a revision"), lock(&applied));
        if revision < applied.revision {
            older_tables.fetch_add(1, Relaxed);
        } else if revision > applied.revision || !applied.received {
            let weights: Weights =
                serde_json::from_value(page["weights"].clone()).expect("the table has weights");
            assert_eq!(page["digest"], weights.digest());
            *applied = AppliedTable { received: true, revision, digest: weights.digest(), weights };
        }
    }
}

/// Sends a proxy's reports at an interval, and counts the accepted ones.
async fn send_reports(
    n: usize,
    (proxies, backends): (usize, usize),
    interval: Duration,
    applied: Arc<Mutex<AppliedTable>>,
    registry: watch::Receiver<SocketAddr>,
    accepted: Arc<AtomicU64>,
) {
    let mut line = RegistryConnection::default();
    sleep(interval.mul_f64(n as f64 / proxies as f64)).await;
    let mut ticks = tokio::time::interval(interval);
    for number in 1.. {
        ticks.tick().await;
        let Some(table) = Some(lock(&applied).clone()).filter(|applied| applied.received) else { continue };
        let address = *registry.borrow();
        let body = encode_report(n, (proxies, backends), number, interval, &table);
        if let Ok((200, _)) = line.call(address, "PUT", "/registry/reports", body).await {
            accepted.fetch_add(1, Relaxed);
        }
    }
}

/// Encodes a report of proxy `n` whose calls follow its table, as JSON.
pub fn encode_report(
    n: usize,
    (proxies, backends): (usize, usize),
    number: u64,
    interval: Duration,
    applied: &AppliedTable,
) -> Vec<u8> {
    let calls: BTreeMap<String, u64> = (0..backends)
        .map(|b| format!("s{b}"))
        .map(|b| (b.clone(), (20.0 * applied.weights.of(&b, "m", "a")).round() as u64))
        .collect();
    let others = (1..proxies).map(|k| proxy_name((n + k * number as usize) % proxies)).take(8);
    let report = Report {
        name: proxy_name(n),
        generation: 1,
        number,
        zone: "a".into(),
        revision: applied.revision,
        digest: applied.digest.clone(),
        window_ms: interval.as_millis() as u64,
        requests: calls.values().sum(),
        calls,
        alive: proxies as u32,
        members: others.map(|name| Witness { name, generation: 1, alive: true }).collect(),
        ..Report::default()
    };
    serde_json::to_vec(&report).expect("a report is written as JSON")
}
