//! Clients of the control plane without a data path: the very code by which `proxy` follows the list of backends,
//! many of them in the test's own process.
#![allow(dead_code)]

use load_balancer::client::discovery::{EndpointListener, Settings, run_watch};
use load_balancer::client::list::{EndpointEntry, Health};
use load_balancer::client::traffic::{Traffic, TrafficKind};
use load_balancer::interface::ListKind;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};

/// The list as a client holds it.
#[derive(Default)]
struct Held {
    /// Its version; of another history it may be lower.
    version: u64,
    serving: BTreeMap<String, SocketAddr>,
    whole_lists: usize,
    /// Whether each version of changes was above the one before.
    went_back: bool,
}

/// Takes the list in, and tells that it changed.
struct Holder {
    held: Rc<RefCell<Held>>,
    changed: Rc<Notify>,
}

impl EndpointListener for Holder {
    fn apply(&self, kind: ListKind, version: u64, hosts: Vec<EndpointEntry>) {
        let held = &mut *self.held.borrow_mut();
        if kind == ListKind::Full {
            held.serving.clear();
            held.whole_lists += 1;
        } else {
            held.went_back |= version <= held.version;
        }
        held.version = version;
        for EndpointEntry { name: host, address: dial, health, .. } in hosts {
            match dial.filter(|_| health == Health::Serving) {
                Some(dial) => drop(held.serving.insert(host, dial)),
                None => drop(held.serving.remove(&host)),
            }
        }
        self.changed.notify_one();
    }

    fn poll_failed(&self) {}

    fn take_resync_request(&self) -> bool {
        false
    }
}

/// One client. It must be started inside a `LocalSet`.
pub struct Client {
    held: Rc<RefCell<Held>>,
    changed: Rc<Notify>,
    traffic: Traffic,
    task: JoinHandle<()>,
    // The task goes on as long as these are held.
    _addresses: watch::Sender<Vec<SocketAddr>>,
    _wanted: watch::Sender<bool>,
    _listed: oneshot::Receiver<()>,
}

impl Client {
    /// Follows the list at a registry; the settings' traffic is its own.
    pub fn start(registry: SocketAddr, settings: Settings) -> Client {
        let (held, changed) = (Rc::<RefCell<Held>>::default(), Rc::new(Notify::new()));
        let holder = Holder { held: held.clone(), changed: changed.clone() };
        let (addresses, at) = watch::channel(vec![registry]);
        let (wanted, wants) = watch::channel(true);
        let (tell, listed) = oneshot::channel();
        let traffic = settings.traffic.clone();
        let task = spawn_local(run_watch(holder, at, settings, wants, tell));
        Client { held, changed, traffic, task, _addresses: addresses, _wanted: wanted, _listed: listed }
    }

    /// Waits until it holds just these backends as serving.
    pub async fn holds(&self, names: &[&str]) {
        while !self.has(names) {
            self.changed.notified().await;
        }
    }

    /// Whether it holds just these backends as serving.
    pub fn has(&self, names: &[&str]) -> bool {
        self.held.borrow().serving.keys().eq(names.iter())
    }

    /// How many whole lists it has been given.
    pub fn whole_lists(&self) -> usize {
        self.held.borrow().whole_lists
    }

    /// Whether changes came in another order than that of their versions.
    pub fn went_back(&self) -> bool {
        self.held.borrow().went_back
    }

    /// Calls for the list that it has sent.
    pub fn calls(&self) -> u64 {
        [TrafficKind::FullList, TrafficKind::ListWatch]
            .map(|kind| self.traffic.count(kind).messages_sent)
            .iter()
            .sum()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.task.abort();
    }
}
