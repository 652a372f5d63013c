//! Clients of the control plane without a data path. They run the code with which a proxy watches the endpoint list,
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

/// Endpoint list that a client holds, and how it came about.
#[derive(Default)]
struct HeldList {
    /// Version of the list; a full list of another history may lower it.
    version: u64,
    serving: BTreeMap<String, SocketAddr>,
    full_lists: usize,
    /// Whether an update had a version that was not above the held one.
    version_went_back: bool,
}

/// Listener that applies each list to the held one and notifies the client.
struct ListRecorder {
    held: Rc<RefCell<HeldList>>,
    changed: Rc<Notify>,
}

impl EndpointListener for ListRecorder {
    fn apply(&self, kind: ListKind, version: u64, entries: Vec<EndpointEntry>) {
        let held = &mut *self.held.borrow_mut();
        if kind == ListKind::Full {
            held.serving.clear();
            held.full_lists += 1;
        } else {
            held.version_went_back |= version <= held.version;
        }
        held.version = version;
        for EndpointEntry { name, address, health, .. } in entries {
            match address.filter(|_| health == Health::Serving) {
                Some(address) => drop(held.serving.insert(name, address)),
                None => drop(held.serving.remove(&name)),
            }
        }
        self.changed.notify_one();
    }

    fn poll_failed(&self) {}

    fn take_resync_request(&self) -> bool {
        false
    }
}

/// Client that watches the endpoint list; it must be started inside a `LocalSet`.
pub struct Client {
    held: Rc<RefCell<HeldList>>,
    changed: Rc<Notify>,
    traffic: Traffic,
    task: JoinHandle<()>,
    addresses: watch::Sender<Vec<SocketAddr>>,
    // Kept so that the channels of the task stay open.
    _on_demand: watch::Sender<bool>,
    _first_list: oneshot::Receiver<()>,
}

impl Client {
    /// Starts a client that watches the list at a registry and counts its calls in the settings' traffic.
    pub fn start(registry: SocketAddr, settings: Settings) -> Client {
        Client::start_with_registries(vec![registry], settings)
    }

    /// Starts a client with several registries, the preferred one first.
    pub fn start_with_registries(registries: Vec<SocketAddr>, settings: Settings) -> Client {
        let (held, changed) = (Rc::<RefCell<HeldList>>::default(), Rc::new(Notify::new()));
        let listener = ListRecorder { held: held.clone(), changed: changed.clone() };
        let (addresses, watched_addresses) = watch::channel(registries);
        let (_on_demand, on_demand) = watch::channel(true);
        let (first_list, _first_list) = oneshot::channel();
        let traffic = settings.traffic.clone();
        let task = spawn_local(run_watch(listener, watched_addresses, settings, on_demand, first_list));
        Client { held, changed, traffic, task, addresses, _on_demand, _first_list }
    }

    /// Moves the watch to another registry, as a reload does.
    pub fn move_to(&self, registry: SocketAddr) {
        self.addresses.send_replace(vec![registry]);
    }

    /// Waits until the serving backends of the held list are exactly these.
    pub async fn wait_for_backends(&self, names: &[&str]) {
        while !self.has_backends(names) {
            self.changed.notified().await;
        }
    }

    /// Returns whether the serving backends of the held list are exactly these.
    pub fn has_backends(&self, names: &[&str]) -> bool {
        self.held.borrow().serving.keys().eq(names.iter())
    }

    /// Returns the number of full lists received.
    pub fn full_list_count(&self) -> usize {
        self.held.borrow().full_lists
    }

    /// Returns whether an update had a version that was not above the held one.
    pub fn version_went_back(&self) -> bool {
        self.held.borrow().version_went_back
    }

    /// Returns the number of calls sent for the list.
    pub fn call_count(&self) -> u64 {
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
