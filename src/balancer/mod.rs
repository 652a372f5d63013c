//! The decisions of a proxy instance, without I/O: whether a request is sent, queued or shed, which endpoint
//! gets it, and whether it is retried. [`Balancer`] holds the state of all rules, one module per rule, and
//! passes each event to the rule that handles it. Settings, events and actions are defined in `interface`.

mod admission;
mod class_latency;
mod concurrency_limit;
mod connections;
mod endpoint_set;
mod endpoints;
mod fleet_share;
pub mod interface;
mod introspection;
mod key_order;
mod list_guard;
mod list_updates;
mod observation;
mod ordered_sum;
mod outlier_detection;
pub mod platform_settings;
mod priority;
mod queues;
mod request;
mod retry;
mod selection;
mod stalled_calls;
mod subset;
mod tenant_quota;
mod tick;
mod timer;
mod warm_up;
mod zone_spill;

use self::admission::Admission;
use self::concurrency_limit::ConcurrencyLimit;
use self::connections::Connections;
use self::endpoint_set::EndpointSet;
use self::endpoints::Endpoints;
use self::fleet_share::FleetShare;
use self::key_order::KeyQueue;
use self::list_guard::ListGuardState;
use self::list_updates::ListUpdates;
use self::outlier_detection::OutlierDetection;
use self::request::Request;
use self::retry::RetryBudget;
use self::selection::Selection;
use self::subset::Subset;
use self::tenant_quota::TokenBucket;
use self::timer::Timer;
use self::warm_up::WarmUp;
use self::zone_spill::ZoneSpill;
use crate::interface::*;
use std::collections::{BTreeMap, HashMap};

/// The load balancer of one proxy instance. The crate's documentation shows how a proxy drives it.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    started: bool,
    last_tick_ms: f64,
    /// Open requests by id. The map is never iterated, because its order is not deterministic.
    requests: HashMap<RequestId, Request>,
    admission: Admission,
    tenant_buckets: Vec<TokenBucket>,
    /// Queues of the open requests of ordered classes, by key.
    key_queues: BTreeMap<u64, KeyQueue>,
    concurrency_limit: ConcurrencyLimit,
    connections: Connections,
    retry_budget: RetryBudget,
    endpoints: Endpoints,
    endpoint_set: EndpointSet,
    subset: Subset,
    selection: Selection,
    outliers: OutlierDetection,
    zone_spill: ZoneSpill,
    warm_up: WarmUp,
    fleet_share: FleetShare,
    list_updates: ListUpdates,
    list_guard: ListGuardState,
}

impl Balancer {
    /// Creates a balancer without endpoints; `seed` seeds its only source of random numbers. Fails if the
    /// settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let prefers_local = ZoneSpill::prefers_local_zone(settings.goal.cross_zone_price);
        Ok(Balancer {
            rng: fastrand::Rng::with_seed(seed),
            started: false,
            last_tick_ms: 0.0,
            requests: HashMap::new(),
            admission: Admission::new(&settings),
            tenant_buckets: settings.tenants.iter().map(|_| TokenBucket::full()).collect(),
            key_queues: BTreeMap::new(),
            concurrency_limit: ConcurrencyLimit::new(&settings),
            connections: Connections::default(),
            retry_budget: RetryBudget::new(),
            endpoints: Endpoints::default(),
            endpoint_set: EndpointSet::new(prefers_local.then_some(settings.zone)),
            subset: Subset::default(),
            selection: Selection::default(),
            outliers: OutlierDetection::new(),
            zone_spill: ZoneSpill::default(),
            warm_up: WarmUp::new(),
            fleet_share: FleetShare::new(&settings),
            list_updates: ListUpdates::new(),
            list_guard: ListGuardState::default(),
            settings,
        })
    }

    /// Handles one event at clock time `now_ms` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now_ms: f64, event: Event, out: &mut Vec<Action>) {
        if !self.started {
            self.start(now_ms, &event, out);
        }
        match event {
            Event::List { kind, entries } => self.on_list(now_ms, kind, entries, out),
            Event::Request(arrival) => self.on_request(now_ms, &arrival, out),
            Event::BodyComplete { request, deadline_ms } => {
                self.on_body_complete(now_ms, request, deadline_ms);
            }
            Event::Resolved(resolved) => self.on_resolved(now_ms, &resolved, out),
            Event::LocalProcesses { processes } => {
                self.warm_up.local_processes = f64::from(processes.max(1));
            }
            Event::Peers { alive, known, rank } => self.on_peers(now_ms, alive, known, rank),
            Event::RouteWeights { weights } => self.on_route_weights(now_ms, weights),
            Event::ClientGone { request } => self.end_request(now_ms, request, out),
            // Queued requests are sent after every event.
            Event::ConnectionsFreed => {}
            Event::TimerFired { token } => self.on_timer(now_ms, token, out),
        }
        self.send_queued(now_ms, out);
    }

    /// Sets the first timers when the first event arrives.
    fn start(&mut self, now_ms: f64, first: &Event, out: &mut Vec<Action>) {
        self.started = true;
        self.last_tick_ms = now_ms;
        self.outliers.last_answer_ms = now_ms;
        out.push(Timer::Tick.set(self.tick_interval_ms()));
        self.subscribe_at_start(first, out);
    }

    /// Handles a timer that fired; unknown tokens are ignored.
    fn on_timer(&mut self, now_ms: f64, token: u64, out: &mut Vec<Action>) {
        match Timer::from_token(token) {
            Some(Timer::Tick) => self.tick(now_ms, out),
            Some(Timer::Subscribe) => {
                self.list_updates.subscribe_timer_set = false;
                out.push(Action::Watch { on: true });
            }
            Some(Timer::Resync) => self.on_resync_timer(out),
            None => {}
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/balancer/steps.rs"]
mod steps;
