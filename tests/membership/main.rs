//! Tests of membership among several proxy processes, with faults on the UDP links between them.

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

/// Interval between probes in [`short_timing`], ms.
const PROBE_MS: u64 = 200;

/// Time to refute a suspicion in [`short_timing`], ms.
const SUSPICION_MS: u64 = 1500;

/// Interval at which the proxies' membership pages are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Proxies that are members of one tier, with UDP links between them.
struct Fleet {
    links: Links,
    discovery: TestDiscovery,
    control: Arc<BackendControl>,
    _backend: TestBackend,
    proxies: Vec<ProxyProcess>,
    /// Own UDP address of each proxy, as opposed to the address of its link.
    process_addresses: Vec<SocketAddr>,
    timing: Value,
    registry: Option<SocketAddr>,
}

impl Fleet {
    /// Starts `size` proxies that find each other by seeds.
    async fn start(size: usize, timing: Value) -> Fleet {
        Fleet::start_with_registry(size, timing, None).await
    }

    /// Starts `size` proxies that find each other by a registry if there is one, and otherwise by seeds.
    async fn start_with_registry(size: usize, timing: Value, registry: Option<SocketAddr>) -> Fleet {
        let control = Arc::new(BackendControl::default());
        let backend = TestBackend::start("a", &control).await;
        let discovery = TestDiscovery::start(vec![backend.endpoint_entry("SERVING")]).await;
        let links = Links::start(size).await;
        let (proxies, process_addresses) = (Vec::new(), Vec::new());
        let mut fleet = Fleet {
            links,
            discovery,
            control,
            _backend: backend,
            proxies,
            process_addresses,
            timing,
            registry,
        };
        for n in 0..size {
            let (proxy, address) = fleet.spawn(n, "tier").await;
            fleet.proxies.push(proxy);
            fleet.process_addresses.push(address);
        }
        fleet
    }

    /// Starts proxy `n` in this cluster; returns it with its own UDP address.
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
        let address = proxy.wait_for_address("membership on ").await;
        self.links.set_process_address(n, address);
        proxy.ops = Some(proxy.wait_for_address("ops on ").await);
        proxy.addr = proxy.wait_for_address("listening on ").await;
        (proxy, address)
    }

    /// Waits until the views of all `observers` satisfy a condition, and returns the time that this took. Panics with
    /// `description` after the deadline.
    async fn wait_until(
        &self,
        observers: &[usize],
        deadline: Duration,
        description: &str,
        condition: impl Fn(&MembershipView) -> bool,
    ) -> Duration {
        let started = Instant::now();
        let all_satisfied = async {
            for n in observers {
                while !condition(&membership_view(&self.proxies[*n]).await) {
                    sleep(POLL_INTERVAL).await;
                }
            }
        };
        if timeout(deadline, all_satisfied).await.is_err() {
            let mut views = Vec::new();
            for n in observers {
                views.push(membership_view(&self.proxies[*n]).await.states);
            }
            panic!("{description}: not within {deadline:?}: {views:?}");
        }
        started.elapsed()
    }

    /// Waits until every proxy sees all others alive, and returns the time that this took.
    async fn wait_until_all_alive(&self, deadline: Duration) -> Duration {
        let (all, size) = (Vec::from_iter(0..self.proxies.len()), self.proxies.len());
        self.wait_until(&all, deadline, "all alive", |v| {
            v.count(&["alive"]) == size - 1 && v.alive == size as u64
        })
        .await
    }
}

/// Membership page of one proxy.
struct MembershipView {
    /// State of each other member, by name.
    states: BTreeMap<String, String>,
    generations: BTreeMap<String, u64>,
    alive: u64,
    share: f64,
    traffic: Value,
}

impl MembershipView {
    /// Returns the number of other members in one of these states.
    fn count(&self, states: &[&str]) -> usize {
        self.states.values().filter(|state| states.contains(&state.as_str())).count()
    }
    /// Returns whether the named member is in this state.
    fn has_state(&self, name: &str, state: &str) -> bool {
        self.states.get(name).is_some_and(|s| s == state)
    }
}

/// Reads the membership page of a proxy.
async fn membership_view(proxy: &ProxyProcess) -> MembershipView {
    let page = proxy.ops_call("members").await;
    let page: Value =
        serde_json::from_str(page.lines().next().expect("the answer has a line")).expect("the page is JSON");
    let members = page["members"].as_array().expect("the page lists members");
    let name = |member: &Value| member["name"].as_str().expect("a member has a name").to_string();
    let state = |member: &Value| member["standing"].as_str().expect("a member has a state").to_string();
    let generation = |member: &Value| member["generation"].as_u64().expect("a member has a generation");
    MembershipView {
        states: members.iter().map(|member| (name(member), state(member))).collect(),
        generations: members.iter().map(|member| (name(member), generation(member))).collect(),
        alive: page["alive"].as_u64().expect("the page counts the live members"),
        share: page["share"].as_f64().expect("the page has a share"),
        traffic: page["traffic"].clone(),
    }
}

/// Returns a timing with short intervals, for fast tests.
fn short_timing() -> Value {
    json!({"probe_ms": PROBE_MS, "rtt_ms": 60, "suspicion_ms": SUSPICION_MS, "forget_ms": 600_000})
}

/// Deadline for proxies to join, also after a partition; long enough for the worst random choices.
const JOIN_DEADLINE: Duration = Duration::from_secs(15);

/// Returns the bound on the time from a member's death until all `others` see it as gone. Each of them probes every
/// member once per round in random order, so the next probe follows after at most 2n - 1 periods. Then the probe fails,
/// the suspicion expires, and the change spreads by gossip at every fifth of a period, well within the last 10 periods
/// of the bound.
fn detection_bound(others: u64) -> Duration {
    Duration::from_millis((2 * others - 1) * PROBE_MS + PROBE_MS + SUSPICION_MS + 10 * PROBE_MS)
}
