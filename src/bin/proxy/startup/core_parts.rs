//! Creates the parts that live as long as the process, each after those that it depends on.

use crate::body::BufferBudget;
use crate::config::Config;
use crate::counters::Counters;
use crate::engine::{Engine, millis};
use crate::error::Error;
use crate::lifecycle::Lifecycle;
use crate::memory::MemoryPlan;
use crate::observer::Observer;
use crate::sent_ids::SentIds;
use crate::upstream::{Limits, Pool};
use load_balancer::client::traffic::Traffic;
use load_balancer::interface::ListKind;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tracing::debug;

/// Returns whether calls are observed, for route reports or recordings.
pub(super) fn is_observed(config: &Config) -> bool {
    config.routes.is_some() || config.record.is_some()
}

/// Parts that the rest of the proxy depends on.
pub(super) struct Core {
    pub(super) counters: Rc<Counters>,
    /// Number of processes that serve this address.
    pub(super) processes: watch::Sender<u32>,
    pub(super) memory: MemoryPlan,
    /// Limit of client connections, for which the descriptors are left that no backend connection needs.
    pub(super) client_connections: usize,
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
        // Only a process with an ops address can be replaced while it serves.
        let memory = MemoryPlan::new(config.memory_bytes, config.ops.is_some(), usable_descriptors);
        debug!("memory: {memory:?}");
        let for_backends = usable_descriptors / 2;
        // Another process that serves this address has as many connections to backends.
        let processes_planned = if config.ops.is_some() { 2 } else { 1 };
        let client_connections =
            usable_descriptors - for_backends.min(processes_planned * memory.backend_connections);
        let limits = Limits {
            connections: for_backends,
            memory,
            processes: processes.subscribe(),
            connect_timeout: millis(site.connect_timeout_ms),
            idle_timeout: millis(site.connection_idle_ms),
            drain_grace: millis(site.drain_grace_ms),
            may_duplicate: site.may_hedge,
        };
        let sent_ids = Rc::new(SentIds::new(config.memory_bytes));
        let buffer_budget = BufferBudget::new(memory.body_bytes);
        let (attempts, refusals) = (counters.attempts(), counters.refusals());
        let pool = Rc::new(Pool::new(limits, attempts, buffer_budget.clone(), sent_ids, refusals));
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
        spawn_local(engine.clone().watch_freed_connections());
        Ok(Core {
            counters,
            processes,
            memory,
            client_connections,
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
