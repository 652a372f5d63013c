//! A fleet of proxies as a registry sees them: each watches its table, takes what is newer and reports. For tests of the
//! registry's side and for benchmarks; what they report is made up.
#![allow(dead_code)]

mod records;

#[allow(unused_imports)]
pub use records::{recorded, shifted};

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

/// Flags for a registry that hosts the route table, with these keys under `[routes]`.
pub fn hosting(data: &Path, keys: &str) -> [String; 2] {
    std::fs::create_dir_all(data).expect("made");
    let file = data.join("registry.toml");
    std::fs::write(&file, format!("[routes]\nenabled = true\n{keys}\n")).expect("written");
    ["--config".into(), file.display().to_string()]
}

/// A registry that hosts it.
pub async fn host(data: &Path, keys: &str) -> Registry {
    host_with(data, keys, &[]).await
}

/// The same, with more flags.
pub async fn host_with(data: &Path, keys: &str, more: &[&str]) -> Registry {
    let flags = hosting(data, keys);
    Registry::start(data, &[&flags.each_ref().map(String::as_str), more].concat()).await
}

/// Registers so many backends, `s0` and on.
pub async fn register(registry: &Registry, backends: usize) {
    let one = |n: usize| {
        let mut entry = entry(&format!("s{n}"), "127.0.0.1:9".parse().expect("address"), "SERVING");
        entry["class"] = "m".into();
        entry
    };
    registry.put(86_400_000, (0..backends).map(one).collect()).await;
}

/// The token of the duty `routes`, acquired by a holder.
pub async fn acquire(registry: &Registry, holder: &str) -> u64 {
    let ask = json!({"duty": "routes", "holder": holder, "ttl_ms": 600_000}).to_string();
    let (status, text) = registry.call("PUT", "/registry/leases", &ask).await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str::<Value>(&text).expect("JSON")["token"].as_u64().expect("a token")
}

/// The body of a proposal of some backends' weights.
pub fn proposal(from: u64, weights: &[(&str, f64)], token: u64) -> Value {
    let weights: BTreeMap<&str, f64> = weights.iter().copied().collect();
    let fence = json!({"duty": "routes", "token": token});
    json!({"from": from, "weights": {"backends": weights}, "by": "operator", "fence": fence})
}

/// Puts a proposal; its status, and its answer as JSON or text.
pub async fn propose(registry: &Registry, body: &Value) -> (u16, Value) {
    let (status, text) = registry.call("PUT", "/registry/routes", &body.to_string()).await;
    (status, serde_json::from_str(&text).unwrap_or(Value::String(text)))
}

/// The revision in force by the state page.
pub fn in_force(page: &Value) -> u64 {
    page["in_force"]["revision"].as_u64().expect("a revision")
}

/// A proposal that is taken; its revision.
pub async fn take(registry: &Registry, body: Value) -> u64 {
    let (status, answer) = propose(registry, &body).await;
    assert_eq!(status, 200, "{answer}");
    answer["revision"].as_u64().expect("a revision")
}

/// The JSON at a path of a registry.
pub async fn page(registry: &Registry, path: &str) -> Value {
    let (status, text) = registry.call("GET", path, "").await;
    assert_eq!(status, 200, "{text}");
    serde_json::from_str(&text).expect("JSON")
}

/// Waits until the page at a path says so, and gives it.
pub async fn until(registry: &Registry, path: &str, so: impl Fn(&Value) -> bool) -> Value {
    let mut last = Value::Null;
    let wait = async {
        loop {
            last = page(registry, path).await;
            if so(&last) {
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

/// What a proxy holds.
#[derive(Clone, Default)]
pub struct Held {
    pub any: bool,
    pub revision: u64,
    pub digest: String,
    pub weights: Weights,
}

/// A fleet.
pub struct Fleet {
    registry: watch::Sender<SocketAddr>,
    held: Vec<Arc<Mutex<Held>>>,
    /// Answers with an older table than was held.
    pub older: Arc<AtomicU64>,
    /// Reports taken.
    pub taken: Arc<AtomicU64>,
    tasks: JoinSet<()>,
}

fn lock(held: &Mutex<Held>) -> MutexGuard<'_, Held> {
    held.lock().expect("sound")
}

impl Fleet {
    /// So many proxies that report of so many backends, this often.
    pub fn start(at: SocketAddr, proxies: usize, backends: usize, every: Duration) -> Fleet {
        let mut fleet = Fleet {
            registry: watch::Sender::new(at),
            held: (0..proxies).map(|_| Arc::default()).collect(),
            older: Arc::default(),
            taken: Arc::default(),
            tasks: JoinSet::new(),
        };
        for n in 0..proxies {
            let (held, at) = (fleet.held[n].clone(), fleet.registry.subscribe());
            fleet.tasks.spawn(follow(n, held.clone(), at.clone(), fleet.older.clone()));
            fleet.tasks.spawn(report(n, (proxies, backends), every, held, at, fleet.taken.clone()));
        }
        fleet
    }

    /// The registry is somewhere else.
    pub fn lead_to(&self, at: SocketAddr) {
        self.registry.send_replace(at);
    }

    /// How many proxies hold a revision.
    pub fn holders(&self, revision: u64) -> usize {
        self.held.iter().filter(|held| lock(held).revision == revision).count()
    }

    /// Waits until all hold a revision.
    pub async fn all_hold(&self, revision: u64) {
        within_deadline(async {
            while self.holders(revision) < self.held.len() {
                sleep(Duration::from_millis(20)).await;
            }
        })
        .await;
    }
}

fn name(n: usize) -> String {
    format!("p{n}")
}

async fn follow(n: usize, held: Arc<Mutex<Held>>, at: watch::Receiver<SocketAddr>, older: Arc<AtomicU64>) {
    let mut line = RegistryConnection::default();
    loop {
        let mut path = format!("/registry/routes?name={}&generation=1", name(n));
        if let Some(held) = Some(lock(&held)).filter(|held| held.any) {
            path += &format!("&after={}&wait_ms=5000", held.revision);
        }
        let to = *at.borrow();
        let Ok((200, text)) = line.call(to, "GET", &path, Vec::new()).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let page: Value = serde_json::from_str(&text).expect("JSON");
        let (revision, mut held) = (page["revision"].as_u64().expect("a revision"), lock(&held));
        if revision < held.revision {
            older.fetch_add(1, Relaxed);
        } else if revision > held.revision || !held.any {
            let weights: Weights = serde_json::from_value(page["weights"].clone()).expect("weights");
            assert_eq!(page["digest"], weights.digest());
            *held = Held { any: true, revision, digest: weights.digest(), weights };
        }
    }
}

async fn report(
    n: usize,
    (proxies, backends): (usize, usize),
    every: Duration,
    held: Arc<Mutex<Held>>,
    at: watch::Receiver<SocketAddr>,
    taken: Arc<AtomicU64>,
) {
    let mut line = RegistryConnection::default();
    sleep(every.mul_f64(n as f64 / proxies as f64)).await;
    let mut ticks = tokio::time::interval(every);
    for number in 1.. {
        ticks.tick().await;
        let Some(now) = Some(lock(&held).clone()).filter(|held| held.any) else { continue };
        let to = *at.borrow();
        let body = made_up(n, (proxies, backends), number, every, &now);
        if let Ok((200, _)) = line.call(to, "PUT", "/registry/reports", body).await {
            taken.fetch_add(1, Relaxed);
        }
    }
}

/// A report that does what the table says.
pub fn made_up(n: usize, of: (usize, usize), number: u64, every: Duration, held: &Held) -> Vec<u8> {
    let (proxies, backends) = of;
    let calls: BTreeMap<String, u64> = (0..backends)
        .map(|b| format!("s{b}"))
        .map(|b| (b.clone(), (20.0 * held.weights.of(&b, "m", "a")).round() as u64))
        .collect();
    let others = (1..proxies).map(|k| name((n + k * number as usize) % proxies)).take(8);
    let report = Report {
        name: name(n),
        generation: 1,
        number,
        zone: "a".into(),
        revision: held.revision,
        digest: held.digest.clone(),
        window_ms: every.as_millis() as u64,
        requests: calls.values().sum(),
        calls,
        alive: proxies as u32,
        members: others.map(|name| Witness { name, generation: 1, alive: true }).collect(),
        ..Report::default()
    };
    serde_json::to_vec(&report).expect("JSON")
}
