//! The engine is the only owner of the decision module: it turns what happens on the sockets into the module's events, in
//! order, and carries out the module's actions.
//!
//! It owns the ids, the clock, the timers and each request from its admission to its end. Everything runs on one thread, so
//! that events have one order. Of the phases of a request `admit` is here, and the start of the attempts that
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

/// The decision module and what it needs to act on sockets.
pub struct Engine {
    state: RefCell<State>,
    pool: Rc<Pool>,
    clock: Clock,
    platform: PlatformSettings,
    /// Whether the module wants discovery to push changes.
    watch_wanted: watch::Sender<bool>,
    /// Whether the module wants the full list again.
    resync_requested: Cell<bool>,
    /// When the last answer must have been given; set by a planned stop.
    last_answer_at: Cell<Option<Instant>>,
    /// Notified of calls, where route reports or recordings are configured.
    observer: Option<Rc<Observer>>,
}

impl Engine {
    /// Starts the module. What it wants of discovery goes to `watch_wanted`.
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

    /// Whether requests can be served: some backend takes work.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().targets.values().any(|target| target.drained_at.get().is_none())
    }

    /// The backends in the list, as the module sees them.
    pub fn census(&self) -> Census {
        self.state.borrow().balancer.census()
    }

    /// How many requests await their answer.
    pub fn unanswered_requests(&self) -> usize {
        self.state.borrow().requests.values().filter(|pending| pending.is_unanswered()).count()
    }

    /// So many processes of this proxy instance run at this address.
    pub fn set_local_processes(self: &Rc<Self>, processes: u32) {
        self.handle_event(Event::LocalProcesses { processes });
    }

    /// So many proxies of the tier are alive, by the membership protocol.
    pub fn set_peers(self: &Rc<Self>, alive: u32, known: u32, rank: Option<u32>) {
        self.handle_event(Event::Peers { alive, known, rank });
    }

    /// The part that this process takes of the budgets that the tier's proxies share.
    pub fn fleet_share(&self) -> f64 {
        self.state.borrow().balancer.share()
    }

    /// Answers all that is open at `last_answer_at`, and from now on shortens the deadlines of new requests to it.
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

    /// Ends all open requests towards their clients; their ids.
    fn end_all_requests(&self) -> Vec<RequestId> {
        let state = &mut *self.state.borrow_mut();
        for pending in state.requests.values_mut() {
            pending.end(RequestEnd::DeadlineExceeded);
        }
        state.requests.keys().copied().collect()
    }
}
