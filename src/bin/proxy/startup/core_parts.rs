//! Creates the parts that live as long as the process, each after those that it depends on.

use crate::body::BufferBudget;
use crate::config::Config;
use crate::counters::Counters;
use crate::engine::{Engine, millis};
use crate::error::Error;
use crate::lifecycle::Lifecycle;
use crate::observer::Observer;
use crate::upstream::{Limits, Pool};
use load_balancer::client::traffic::Traffic;
use load_balancer::interface::ListKind;
use std::rc::Rc;
use tokio::sync::watch;

/// Divisor of the configured memory that gives the budget of buffered bodies; a process that replaces this one needs the
/// same budget at the same time.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Returns whether calls are observed, for route reports or recordings.
pub(super) fn is_observed(config: &Config) -> bool {
    config.routes.is_some() || config.record.is_some()
}

/// Parts that the rest of the proxy depends on.
pub(super) struct Core {
    pub(super) counters: Rc<Counters>,
    /// Number of processes that serve this address.
    pub(super) processes: watch::Sender<u32>,
    /// Memory budget of buffered bodies.
    pub(super) buffer_budget: Rc<BufferBudget>,
    pub(super) pool: Rc<Pool>,
    pub(super) observer: Option<Rc<Observer>>,
    pub(super) engine: Rc<Engine>,
    /// Whether the decision module asks for a watch of discovery.
    pub(super) watch_wanted: watch::Receiver<bool>,
    pub(super) lifecycle: Rc<Lifecycle>,
    pub(super) traffic: Traffic,
}

impl Core {
    /// Creates the parts, and applies the cached endpoint list, if any, to the engine.
    pub(super) fn new(config: &mut Config, usable_descriptors: usize) -> Result<Self, Error> {
        let site = &config.platform.site;
        let counters = Counters::new(site.classes.clone());
        let processes = watch::Sender::new(1);
        let limits = Limits {
            connections: usable_descriptors / 2,
            processes: processes.subscribe(),
            connect_timeout: millis(site.connect_timeout_ms),
            idle_timeout: millis(site.connection_idle_ms),
            drain_grace: millis(site.drain_grace_ms),
            may_duplicate: site.may_hedge,
        };
        let buffer_budget = BufferBudget::new(config.memory_bytes / BODY_MEMORY_DIVISOR);
        let pool = Rc::new(Pool::new(limits, counters.attempts(), buffer_budget.clone()));
        let (watch_wanted_sender, watch_wanted) = watch::channel(false);
        let observer = is_observed(config).then(Observer::new);
        let platform = config.platform.clone();
        let engine = Engine::new(platform, config.seed, pool.clone(), watch_wanted_sender, observer.clone())?;
        let (version, entries) = config
            .cached_list
            .take()
            .map(|page| (page.version, page.into_entries().entries))
            .unwrap_or_default();
        engine.apply_list(ListKind::Cached, version, entries);
        Ok(Core {
            counters,
            processes,
            buffer_budget,
            pool,
            observer,
            engine,
            watch_wanted,
            lifecycle: Rc::new(Lifecycle::new()),
            traffic: Traffic::default(),
        })
    }
}
