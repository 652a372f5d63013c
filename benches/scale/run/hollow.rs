//! A hollow proxy: the control-plane client of `proxy`, with no data path behind it.

use super::agent::Agent;
use super::clock::{now_ms, now_us};
use super::entries::Entries;
use super::order::ProxyPlan;
use super::standing::Standings;
use load_balancer::client::discovery::{self, EndpointListener, PollBackoff, PollSchedule};
use load_balancer::client::list::EndpointEntry;
use load_balancer::client::route_table::{
    CallCounts, Identity, RequestTotals, RouteTableClient, RoutedProxy, Settings,
};
use load_balancer::client::traffic::Traffic;
use load_balancer::interface::ListKind;
use load_balancer::route_table::{ExclusionReason, Revision, Weights};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// Requests a second that its reports tell of: a rollout waits for some on either side.
const REQUESTS_A_SECOND: f64 = 54.0;
/// How often a report's window is looked at; only the last look counts here, since nothing changes in between.
const LOOKS: u32 = 4;
/// The grace of a drain in the configuration of the real proxies (deploy/local.toml).
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// What is held, and since when, Unix time in microseconds.
#[derive(Default)]
struct Held {
    entries: Entries,
    list_version: u64,
    list_since: u64,
    revision: Option<Revision>,
    table: Weights,
    table_since: u64,
}

/// What the hollow proxies of a worker count together.
#[derive(Default)]
pub struct Shared {
    /// Their messages.
    pub traffic: Traffic,
    /// The whole lists that they have taken.
    pub whole_lists: Rc<Cell<u64>>,
}

struct Inner {
    held: RefCell<Held>,
    whole_lists: Rc<Cell<u64>>,
    lists: Cell<u64>,
    standings: Rc<RefCell<Standings>>,
    started: Instant,
    looks: Cell<u32>,
}

/// What stands in for the proxy.
#[derive(Clone)]
struct StandIn(Rc<Inner>);

/// A running one.
pub struct Hollow {
    plan: ProxyPlan,
    inner: Rc<Inner>,
    tasks: Vec<JoinHandle<()>>,
    _agent: Agent,
    /// Discovery ends when nobody can tell it of another address.
    _registries: watch::Sender<Vec<SocketAddr>>,
    _wanted: watch::Sender<bool>,
}

impl Hollow {
    /// Starts one with the agent of its backend.
    pub fn start(plan: ProxyPlan, standings: Rc<RefCell<Standings>>, shared: &Shared) -> Hollow {
        let traffic = shared.traffic.clone();
        let inner = Rc::new(Inner {
            held: RefCell::default(),
            standings,
            whole_lists: shared.whole_lists.clone(),
            lists: Cell::default(),
            started: Instant::now(),
            looks: Cell::default(),
        });
        let (registries, moves) = watch::channel(vec![plan.registry]);
        let (wanting, wanted) = watch::channel(true);
        let stand_in = StandIn(inner.clone());
        let pace = PollSchedule::new(false, DRAIN_GRACE).with_backoff(PollBackoff::default());
        let service = plan.service.as_deref().and_then(|name| name.parse().ok());
        let follows = discovery::Settings { service, ..discovery::Settings::new(pace, traffic.clone()) };
        let list =
            discovery::run_watch(stand_in.clone(), moves.clone(), follows, wanted, oneshot::channel().0);
        let settings = Settings { report_ms: plan.report_ms, ..Settings::default() };
        let who = Identity::new(format!("p{}", plan.number), plan.zone.clone(), None);
        let routes = RouteTableClient::new(&settings, who, Box::new(stand_in), traffic.clone());
        let tasks = vec![
            spawn_local(list),
            spawn_local(routes.clone().run_watch(moves)),
            spawn_local(routes.run_reports()),
        ];
        let agent = Agent::start(plan.clone(), traffic);
        Hollow { plan, inner, tasks, _agent: agent, _registries: registries, _wanted: wanting }
    }

    /// The service that it asks for.
    pub fn service(&self) -> Option<&str> {
        self.plan.service.as_deref()
    }

    /// Since when it holds a list, by the sum of its entries; none if it does not.
    pub fn holds_list(&self, sum: u64) -> Option<u64> {
        let held = self.inner.held.borrow();
        (held.list_version > 0 && held.entries.sum() == sum).then_some(held.list_since)
    }

    /// How many lists and changes of lists it has taken.
    pub fn lists_taken(&self) -> u64 {
        self.inner.lists.get()
    }

    /// Since when it has a route table in force; none if it does not.
    pub fn holds_table(&self, revision: Revision) -> Option<u64> {
        let held = self.inner.held.borrow();
        (held.revision == Some(revision)).then_some(held.table_since)
    }
}

impl Drop for Hollow {
    /// At once, and with nothing said to anybody.
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl EndpointListener for StandIn {
    fn apply(&self, kind: ListKind, version: u64, hosts: Vec<EndpointEntry>) {
        let held = &mut *self.0.held.borrow_mut();
        held.entries.take(kind, &hosts);
        self.0.lists.update(|lists| lists + 1);
        self.0.whole_lists.update(|lists| lists + u64::from(kind == ListKind::Full));
        (held.list_version, held.list_since) = (version, now_us());
        self.0.standings.borrow_mut().take(kind, version, &hosts, now_ms() as f64);
    }

    fn poll_failed(&self) {}

    fn take_resync_request(&self) -> bool {
        false
    }
}

impl RoutedProxy for StandIn {
    fn apply_table(&self, revision: Revision, weights: Weights) {
        let held = &mut *self.0.held.borrow_mut();
        (held.revision, held.table, held.table_since) = (Some(revision), weights, now_us());
    }

    fn weights(&self) -> BTreeMap<String, f64> {
        BTreeMap::new()
    }

    fn digest(&self) -> String {
        self.0.held.borrow().table.digest()
    }

    fn exclusions(&self) -> BTreeMap<String, ExclusionReason> {
        let looks = self.0.looks.get() + 1;
        self.0.looks.set(looks % LOOKS);
        match looks {
            LOOKS => self.0.standings.borrow_mut().picture(now_ms() as f64).left_out.clone(),
            _ => BTreeMap::new(),
        }
    }

    fn list_version(&self) -> u64 {
        self.0.held.borrow().list_version
    }

    fn take_call_counts(&self) -> BTreeMap<String, CallCounts> {
        self.0.standings.borrow_mut().picture(now_ms() as f64).calls.clone()
    }

    fn totals(&self) -> RequestTotals {
        let requests = (self.0.started.elapsed().as_secs_f64() * REQUESTS_A_SECOND) as u64;
        RequestTotals { requests, ..RequestTotals::default() }
    }
}
