//! Membership among several proxy processes, with faults on the links between them.

mod fault_relay;
mod registry_rig;
mod rig;
mod waits;

use fault_relay::Links;
use registry_rig::{Registry, data_dir, names};
use rig::{Backend, Discovery, Orders, Proxy, settings};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

const PROBE: u64 = 200;
const SUSPICION: u64 = 1500;
/// How often views are read.
const LOOK: Duration = Duration::from_millis(50);

/// Proxies that are each other's members.
struct Fleet {
    links: Links,
    discovery: Discovery,
    orders: Arc<Orders>,
    _backend: Backend,
    proxies: Vec<Proxy>,
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
        let orders = Arc::new(Orders::default());
        let backend = Backend::start("a", &orders).await;
        let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
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

    async fn spawn(&self, n: usize, cluster: &str) -> (Proxy, SocketAddr) {
        let mut config = self.discovery.config(settings());
        let seeds: Vec<String> = self.links.addresses.iter().take(2).map(ToString::to_string).collect();
        config["ops"] = "127.0.0.1:0".into();
        config["settings"]["peersTotal"] = self.links.addresses.len().into();
        config["membership"] = json!({"bind": "127.0.0.1:0", "advertise": self.links.addresses[n].to_string(),
            "cluster": cluster, "name": format!("n{n}"), "seeds": seeds, "timing": self.timing});
        if let Some(registry) = self.registry {
            config["membership"]["seeds"] = json!([]);
            config["membership"]["registries"] = json!([registry.to_string()]);
        }
        let mut proxy = Proxy::spawn(&config, "exec \"$0\"");
        let place = proxy.says("membership on ").await;
        self.links.place(n, place);
        proxy.ops = Some(proxy.says("ops on ").await);
        proxy.addr = proxy.says("listening on ").await;
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

async fn view(proxy: &Proxy) -> View {
    let page = proxy.tell("members").await;
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

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_member_is_gone_for_all_within_the_bound_and_its_successor_is_not_taken_for_it() {
    let mut fleet = Fleet::start(5, quick()).await;
    fleet.until_all_alive(JOINED).await;
    let before = view(&fleet.proxies[0]).await.generations["n4"];
    fleet.proxies.pop().expect("five").kill().await;
    fleet.until(&[0, 1, 2, 3], detected_within(4), "n4 gone", |v| v.is("n4", "gone") && v.alive == 4).await;
    let (again, _) = fleet.spawn(4, "tier").await;
    fleet.proxies.push(again);
    fleet.until_all_alive(JOINED).await;
    assert!(view(&fleet.proxies[0]).await.generations["n4"] > before);
    // A planned stop says so itself.
    let mut stopped = fleet.proxies.pop().expect("five");
    stopped.terminate().await;
    let told = fleet.until(&[0, 1, 2, 3], detected_within(4), "n4 left", |v| v.is("n4", "gone")).await;
    assert!(told < Duration::from_millis(SUSPICION), "who leaves is not suspected first: {told:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_was_stopped_for_long_returns_and_stays() {
    let fleet = Fleet::start(3, quick()).await;
    fleet.until_all_alive(JOINED).await;
    let before = view(&fleet.proxies[0]).await.generations["n2"];
    fleet.proxies[2].send_signal("-STOP");
    fleet.until(&[0, 1], detected_within(2), "n2 gone", |v| v.is("n2", "gone")).await;
    fleet.proxies[2].send_signal("-CONT");
    fleet.until_all_alive(JOINED).await;
    assert!(view(&fleet.proxies[0]).await.generations["n2"] > before, "it is back as the next generation");
    let settled = Instant::now();
    while settled.elapsed() < Duration::from_millis(15 * PROBE) {
        for proxy in &fleet.proxies {
            let view = view(proxy).await;
            assert_eq!(view.count(&["gone"]), 0, "{:?}", view.standings);
        }
        sleep(LOOK).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fifth_of_all_datagrams_lost_makes_nobody_gone() {
    let timing = json!({"probe_ms": 500, "rtt_ms": 150, "suspicion_ms": 4000, "forget_ms": 600_000});
    let fleet = Fleet::start(5, timing).await;
    fleet.until_all_alive(JOINED).await;
    let before = view(&fleet.proxies[0]).await.generations;
    fleet.links.lose(0.2);
    let (begun, passed) = (Instant::now(), fleet.links.passed());
    while begun.elapsed() < Duration::from_secs(30) {
        for proxy in &fleet.proxies {
            let view = view(proxy).await;
            assert_eq!((view.count(&["gone"]), view.alive), (0, 5), "{:?}", view.standings);
        }
        sleep(LOOK * 4).await;
    }
    assert!(fleet.links.passed() > passed + 500, "they did go on talking");
    assert_eq!(view(&fleet.proxies[0]).await.generations, before, "who was suspected refuted it");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_one_way_cut_is_got_round_and_a_split_heals_with_the_shares_in_bound() {
    let fleet = Fleet::start(5, quick()).await;
    fleet.until_all_alive(JOINED).await;
    // n0 hears n1, n1 does not hear n0: the others probe for them.
    fleet.links.cut(0, 1);
    let begun = Instant::now();
    while begun.elapsed() < 2 * detected_within(4) {
        for proxy in &fleet.proxies {
            assert_eq!(view(proxy).await.count(&["gone"]), 0);
        }
        sleep(LOOK).await;
    }
    fleet.links.heal();
    let (many, few) = ([0, 1, 2], [3, 4]);
    for (a, b) in many.iter().flat_map(|a| few.map(|b| (*a, b))) {
        fleet.links.cut(a, b);
        fleet.links.cut(b, a);
    }
    let split = async {
        fleet.until(&many, 3 * detected_within(4), "the few gone", |v| v.alive == 3).await;
        fleet.until(&few, 3 * detected_within(4), "the many gone", |v| v.alive == 2).await;
    };
    let sum = async || {
        let mut sum = 0.0;
        for proxy in &fleet.proxies {
            sum += view(proxy).await.share;
        }
        sum
    };
    let mut most: f64 = 0.0;
    let watch = async {
        loop {
            most = most.max(sum().await);
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = split => {}
        () = watch => {}
    }
    // The many go on for a while: they take over slowly.
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(3) {
        most = most.max(sum().await);
        sleep(LOOK).await;
    }
    assert!(most > 1.0 && most < 1.2, "the sum of the shares after a few seconds of a split: {most}");
    fleet.links.heal();
    fleet.until_all_alive(JOINED).await;
    assert!((sum().await - 1.0).abs() < 1e-6, "at once after it: {}", sum().await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_strangers_and_a_flood_are_dropped_and_nothing_else_suffers() {
    let fleet = Fleet::start(3, quick()).await;
    fleet.until_all_alive(JOINED).await;
    let (stranger, _) = fleet.spawn(2, "another tier").await;
    let place = fleet.places[0];
    let foe = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let mut chance = fastrand::Rng::with_seed(3);
    for size in [0, 1, 11, 12, 13, 100, 1400, 2000] {
        let datagram: Vec<u8> = (0..size).map(|_| chance.u8(..)).collect();
        foe.send_to(&datagram, place).await.expect("sent");
        // The right magic alone makes it no better.
        let datagram = [b"HRM1".as_slice(), &datagram].concat();
        foe.send_to(&datagram, place).await.expect("sent");
    }
    let dropped = |key: &'static str| move |v: &View| v.traffic[key].as_u64().expect("a number") >= 10;
    fleet.until(&[0], JOINED, "garbage is counted", dropped("garbage")).await;
    fleet.until(&[0, 1], JOINED, "another cluster's too", |v| v.traffic["other_cluster"] != 0).await;
    assert_eq!(view(&stranger).await.alive, 1, "it is nobody's member");
    stranger.kill().await;
    fleet.links.place(2, fleet.places[2]);
    let before = fleet.proxies[0].peak_mb();
    for _ in 0..200 {
        for _ in 0..200 {
            let _ = foe.try_send_to(&[7; 1200], place);
        }
        assert_eq!(fleet.proxies[0].call("look").await, (200, "a".into()), "calls go on");
    }
    assert!(fleet.proxies[0].peak_mb() < before + 8, "a flood is not kept");
    fleet.until_all_alive(JOINED).await;
    assert!(fleet.orders.seen.borrow().len() >= 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxies_find_each_other_by_a_registry_and_outlive_it() {
    let registry = Registry::start(&data_dir("proxies"), &[]).await;
    let mut fleet = Fleet::found_by(3, quick(), Some(registry.address)).await;
    // The first finds the others by being asked; a renewal is 12.5 s off at the most.
    fleet.until_all_alive(JOINED).await;
    let listed = async || {
        let mut names = names(&registry.get("").await);
        names.sort();
        names
    };
    assert_eq!(listed().await, ["n0", "n1", "n2"]);
    fleet.proxies[2].terminate().await;
    let off = async {
        while listed().await != ["n0", "n1"] {
            sleep(LOOK).await;
        }
    };
    timeout(JOINED, off).await.expect("who stops takes itself off well within its TTL");
    fleet.proxies.pop();
    registry.kill().await;
    fleet.until(&[0, 1], JOINED, "n2 left", |v| v.is("n2", "gone") && v.alive == 2).await;
    for proxy in &fleet.proxies {
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
    fleet.until(&[0, 1], JOINED, "both stay", |v| v.alive == 2).await;
}
