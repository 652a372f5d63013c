//! Membership among several proxy processes, with faults on the links between them.

#[path = "../fault_relay/mod.rs"]
mod fault_relay;
mod links;
mod members;
#[path = "../registry_rig/mod.rs"]
mod registry_rig;
#[path = "../rig/mod.rs"]
mod rig;
#[path = "../waits/mod.rs"]
mod waits;

use crate::fault_relay::Links;
use crate::rig::{BackendControl, ProxyProcess, TestBackend, TestDiscovery, settings};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

const PROBE: u64 = 200;

const SUSPICION: u64 = 1500;

/// How often views are read.
const LOOK: Duration = Duration::from_millis(50);

/// Proxies that are each other's members.
struct Fleet {
    links: Links,
    discovery: TestDiscovery,
    orders: Arc<BackendControl>,
    _backend: TestBackend,
    proxies: Vec<ProxyProcess>,
    places: Vec<SocketAddr>,
    timing: Value,
    registry: Option<SocketAddr>,
}

impl Fleet {
    async fn start(size: usize, timing: Value) -> Fleet {
        Fleet::found_by(size, timing, None).await
    }

    /// They find each other by a registry, or else by seeds.
    async fn found_by(size: usize, timing: Value, registry: Option<SocketAddr>) -> Fleet {
        let orders = Arc::new(BackendControl::default());
        let backend = TestBackend::start("a", &orders).await;
        let discovery = TestDiscovery::start(vec![backend.endpoint_entry("SERVING")]).await;
        let links = Links::start(size).await;
        let (proxies, places) = (Vec::new(), Vec::new());
        let mut fleet =
            Fleet { links, discovery, orders, _backend: backend, proxies, places, timing, registry };
        for n in 0..size {
            let (proxy, place) = fleet.spawn(n, "tier").await;
            fleet.proxies.push(proxy);
            fleet.places.push(place);
        }
        fleet
    }

    async fn spawn(&self, n: usize, cluster: &str) -> (ProxyProcess, SocketAddr) {
        let mut config = self.discovery.proxy_config(settings());
        let seeds: Vec<String> = self.links.addresses.iter().take(2).map(ToString::to_string).collect();
        config["ops"] = "127.0.0.1:0".into();
        config["settings"]["peersTotal"] = self.links.addresses.len().into();
        config["membership"] = json!({"bind": "127.0.0.1:0", "advertise": self.links.addresses[n].to_string(),
            "cluster": cluster, "name": format!("n{n}"), "seeds": seeds, "timing": self.timing});
        if let Some(registry) = self.registry {
            config["membership"]["seeds"] = json!([]);
            config["membership"]["registries"] = json!([registry.to_string()]);
        }
        let mut proxy = ProxyProcess::spawn(&config, "exec \"$0\"");
        let place = proxy.wait_for_address("membership on ").await;
        self.links.place(n, place);
        proxy.ops = Some(proxy.wait_for_address("ops on ").await);
        proxy.addr = proxy.wait_for_address("listening on ").await;
        (proxy, place)
    }

    /// Waits until the proxies of `of` see the others as told, and says how long that took.
    async fn until(
        &self,
        of: &[usize],
        within: Duration,
        what: &str,
        seen: impl Fn(&View) -> bool,
    ) -> Duration {
        let begun = Instant::now();
        let all = async {
            for n in of {
                while !seen(&view(&self.proxies[*n]).await) {
                    sleep(LOOK).await;
                }
            }
        };
        if timeout(within, all).await.is_err() {
            let mut views = Vec::new();
            for n in of {
                views.push(view(&self.proxies[*n]).await.standings);
            }
            panic!("{what}: not within {within:?}: {views:?}");
        }
        begun.elapsed()
    }

    async fn until_all_alive(&self, within: Duration) -> Duration {
        let (all, size) = (Vec::from_iter(0..self.proxies.len()), self.proxies.len());
        self.until(&all, within, "all alive", |v| v.count(&["alive"]) == size - 1 && v.alive == size as u64)
            .await
    }
}

struct View {
    standings: BTreeMap<String, String>,
    generations: BTreeMap<String, u64>,
    alive: u64,
    share: f64,
    traffic: Value,
}

impl View {
    fn count(&self, standings: &[&str]) -> usize {
        self.standings.values().filter(|s| standings.contains(&s.as_str())).count()
    }
    fn is(&self, name: &str, standing: &str) -> bool {
        self.standings.get(name).is_some_and(|s| s == standing)
    }
}

async fn view(proxy: &ProxyProcess) -> View {
    let page = proxy.ops_call("members").await;
    let page: Value = serde_json::from_str(page.lines().next().expect("a page")).expect("JSON");
    let members = page["members"].as_array().expect("members");
    let name = |m: &Value| m["name"].as_str().expect("a name").to_string();
    View {
        standings: members.iter().map(|m| (name(m), m["standing"].as_str().expect("text").into())).collect(),
        generations: members.iter().map(|m| (name(m), m["generation"].as_u64().expect("a number"))).collect(),
        alive: page["alive"].as_u64().expect("a number"),
        share: page["share"].as_f64().expect("a number"),
        traffic: page["traffic"].clone(),
    }
}

fn quick() -> Value {
    json!({"probe_ms": PROBE, "rtt_ms": 60, "suspicion_ms": SUSPICION, "forget_ms": 600_000})
}

/// Long enough to join, or to find each other again, however unlucky.
const JOINED: Duration = Duration::from_secs(15);

/// From a death to its being known to all: a member is probed once in every round of the others, its place in it by
/// chance (2n - 1 periods at most); the probe fails; it may refute; and the news spreads by gossip every half period.
fn detected_within(others: u64) -> Duration {
    Duration::from_millis((2 * others - 1) * PROBE + PROBE + SUSPICION + 10 * PROBE)
}
