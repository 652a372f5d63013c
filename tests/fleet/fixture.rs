//! A fleet of proxies with a registry, backends and clients.

use crate::fault_relay::Links;
use crate::fleet::backends::{self, Backend};
use crate::fleet::clients::{self, Tally};
use crate::fleet::processes::{self, Process};
use crate::fleet::statistics::{self, Spread, spread};
use crate::registry_rig::{Registry, data_dir};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;

pub const PROXIES: usize = 200;
pub const BACKENDS: usize = 60;
/// Membership timing of the proxies: short, yet long enough that a busy machine causes no false failure detections.
pub const MEMBERSHIP_TIMING: [(&str, u64); 4] =
    [("probe_ms", 1000), ("rtt_ms", 500), ("suspicion_ms", 4000), ("forget_ms", 600_000)];

/// Serializes the tests: a machine has capacity for one fleet.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());

/// A running fleet with its registry and backends.
pub struct FleetFixture {
    pub registry: Registry,
    pub backends: Vec<Backend>,
    pub fleet: Vec<Process>,
    /// Links between members with [`MembershipMode::Relayed`].
    pub links: Option<Links>,
    _fleet_lock: MutexGuard<'static, ()>,
}

/// How proxies reach each other as members.
#[derive(Clone, Copy, PartialEq)]
pub enum MembershipMode {
    None,
    Direct,
    Relayed,
}

/// Clients that send until drop.
pub struct RunningLoad {
    pub tally: Arc<Tally>,
    task: JoinHandle<()>,
}

impl Drop for RunningLoad {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FleetFixture {
    /// Starts a fleet; `change` edits the configuration of each proxy, given its number and the registry address.
    pub async fn start(
        name: &str,
        members: MembershipMode,
        change: impl Fn(usize, &mut Value, SocketAddr),
    ) -> FleetFixture {
        let guard = FLEET_LOCK.lock().await;
        let program = Path::new(env!("CARGO_BIN_EXE_proxy"));
        let registry = Registry::start(&data_dir(name), &[]).await;
        let backends = backends::start(BACKENDS, 1).await;
        registry.put(86_400_000, backends.iter().map(|b| b.endpoint_entry("SERVING")).collect()).await;
        let mut configs: Vec<Value> = (0..PROXIES)
            .map(|n| {
                let mut config = processes::config(n, PROXIES, registry.address, 1);
                change(n, &mut config, registry.address);
                config
            })
            .collect();
        let timing = json!(std::collections::BTreeMap::from(MEMBERSHIP_TIMING));
        let mut links = None;
        let fleet = match members {
            MembershipMode::None => processes::start(program, configs).await,
            MembershipMode::Direct => processes::start_members(program, configs, &timing).await,
            MembershipMode::Relayed => {
                let relayed = Links::start(PROXIES).await;
                for (n, config) in configs.iter_mut().enumerate() {
                    processes::with_membership(config, n, &relayed.addresses[..3], &timing);
                    config["membership"]["advertise"] = relayed.addresses[n].to_string().into();
                }
                let fleet = processes::start(program, configs).await;
                for (n, process) in fleet.iter().enumerate() {
                    relayed.set_process_address(n, process.membership_addr.expect("the proxy is a member"));
                }
                processes::wait_for_members(&fleet, PROXIES).await;
                links = Some(relayed);
                fleet
            }
        };
        FleetFixture { registry, backends, fleet, links, _fleet_lock: guard }
    }

    /// Starts clients that send `per_s` requests per second in total to these proxies.
    pub fn start_load(&self, of: Range<usize>, per_s: f64, group: usize) -> RunningLoad {
        let tally = Arc::new(Tally { group, ..Tally::default() });
        let addresses: Vec<SocketAddr> = self.fleet[of.clone()].iter().map(|p| p.addr).collect();
        let rates = vec![per_s / addresses.len() as f64; addresses.len()];
        let day = Duration::from_secs(86_400);
        let task = tokio::spawn(clients::run(addresses, rates, 1 + of.start as u64, day, tally.clone()));
        RunningLoad { tally, task }
    }

    /// Resets the counts of all backends.
    pub fn reset_counts(&self) {
        self.backends.iter().for_each(Backend::reset_counts);
    }

    pub fn spread(&self) -> Spread {
        spread(&statistics::call_counts(&self.backends))
    }

    /// Counts the backends that this group of clients has not reached.
    pub fn unreached_backends(&self, group: usize) -> usize {
        let is_unreached =
            |b: &&Backend| b.state.by_group[group].load(std::sync::atomic::Ordering::SeqCst) == 0;
        self.backends.iter().filter(is_unreached).count()
    }

    /// Panics if calls herded on one backend in any interval, even with few calls.
    pub fn assert_no_herd(&self, when: &str) {
        let (herd, peak) =
            (statistics::worst_herd_ratio(&self.backends), statistics::peak_interval_calls(&self.backends));
        println!("{when}: herd {herd:.2}, at most {peak} calls at one backend in 100 ms");
        assert!(herd < 1.0, "{when}: a herd of {peak} calls in 100 ms, {herd:.2} of the bound");
    }
}

/// Reads a counter.
pub fn count(counter: &AtomicUsize) -> usize {
    counter.load(std::sync::atomic::Ordering::SeqCst)
}
