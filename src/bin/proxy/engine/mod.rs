//! The engine owns the balancer, the decision module. It converts socket events, timers and endpoint lists to the
//! balancer's events, in order, and performs the actions that the balancer returns.
//!
//! It owns the ids, the clock, the timers and each request from its admission to its end. Everything runs on one
//! thread, so that events have one order. It implements the request phase `admit`, and starts the attempts that
//! follow `select_endpoint`.

mod act;
mod admit;
mod attempts;
mod clock;
mod list;
mod observe;
mod request;
mod state;

pub use admit::{AdmittedRequest, NotAdmitted};
pub use clock::millis;
pub use list::ListedEngine;
pub use request::{ParsedRequest, RequestEnd};

use crate::observer::Observer;
use crate::upstream::Pool;
use clock::Clock;
use load_balancer::Balancer;
use load_balancer::interface::{Census, Event, RequestId, SettingsError};
use load_balancer::platform_settings::PlatformSettings;
use state::State;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The balancer together with the state that its actions on sockets need.
pub struct Engine {
    state: RefCell<State>,
    pool: Rc<Pool>,
    clock: Clock,
    platform: PlatformSettings,
    /// Whether the balancer wants a watch on discovery, which pushes changes.
    watch_wanted: watch::Sender<bool>,
    /// Whether the balancer requested a resync with the full list.
    resync_requested: Cell<bool>,
    /// The time by which all requests must be answered; set by a planned stop.
    last_answer_at: Cell<Option<Instant>>,
    /// The observer of lists and calls, if route reports or recordings are configured.
    observer: Option<Rc<Observer>>,
}

impl Engine {
    /// Creates the balancer with the platform's settings. Whether it wants a watch on discovery is published on
    /// `watch_wanted`. Fails if the settings are invalid.
    pub fn new(
        platform: PlatformSettings,
        seed: u64,
        pool: Rc<Pool>,
        watch_wanted: watch::Sender<bool>,
        observer: Option<Rc<Observer>>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(platform.settings.clone(), seed)?,
            id_by_host: HashMap::new(),
            host_by_id: HashMap::new(),
            removal_candidates: HashSet::new(),
            targets: HashMap::new(),
            requests: HashMap::new(),
            next_request_id: 1,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        Ok(Rc::new(Engine {
            state: RefCell::new(state),
            pool,
            clock: Clock::new(),
            platform,
            watch_wanted,
            resync_requested: Cell::new(false),
            last_answer_at: Cell::new(None),
            observer,
        }))
    }

    /// Returns whether requests can be served, that is, whether any backend takes new requests.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().targets.values().any(|target| target.drained_at.get().is_none())
    }

    /// Returns the balancer's counts of listed, excluded and unlisted backends.
    pub fn census(&self) -> Census {
        self.state.borrow().balancer.census()
    }

    /// Returns the number of requests that have not been answered.
    pub fn unanswered_requests(&self) -> usize {
        self.state.borrow().requests.values().filter(|pending| pending.is_unanswered()).count()
    }

    /// Returns whether requests wait because no connection to a backend is left for them.
    pub fn has_requests_without_connection(&self) -> bool {
        self.state.borrow().balancer.has_requests_without_connection()
    }

    /// Passes the number of processes of this proxy instance at its address to the balancer.
    pub fn set_local_processes(self: &Rc<Self>, processes: u32) {
        self.handle_event(Event::LocalProcesses { processes });
    }

    /// Passes the tier's proxy counts from the membership protocol, and this proxy's rank, to the balancer.
    pub fn set_peers(self: &Rc<Self>, alive: u32, known: u32, rank: Option<u32>) {
        self.handle_event(Event::Peers { alive, known, rank });
    }

    /// Returns this process's fraction of the budgets that the tier's proxies share.
    pub fn fleet_share(&self) -> f64 {
        self.state.borrow().balancer.share()
    }

    /// Ends all open requests at `last_answer_at`, and limits the deadlines of requests that arrive from now on to
    /// that time.
    pub fn answer_all_by(self: &Rc<Self>, last_answer_at: Instant) {
        self.last_answer_at.set(Some(last_answer_at));
        let engine = self.clone();
        tokio::task::spawn_local(async move {
            sleep_until(last_answer_at).await;
            for request in engine.end_all_requests() {
                engine.handle_event(Event::ClientGone { request });
            }
        });
    }

    /// Ends all open requests towards their clients as exceeding the deadline, and returns their ids.
    fn end_all_requests(&self) -> Vec<RequestId> {
        let state = &mut *self.state.borrow_mut();
        for pending in state.requests.values_mut() {
            pending.end(RequestEnd::DeadlineExceeded);
        }
        state.requests.keys().copied().collect()
    }
}
