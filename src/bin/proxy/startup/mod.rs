//! Starts the proxy, serves until SIGTERM, and stops.
//!
//! Each step of the start is a function. [`Core`] has the parts that live as long as the process. The order of the steps
//! matters: the endpoint list is requested before the port is bound, so that a process that is being replaced serves
//! until this one can.

mod core_parts;
mod listen;
mod signals;

use crate::config::Config;
use crate::descriptors::Descriptors;
use crate::downstream::{Downstream, Slots};
use crate::engine::{ListedEngine, millis};
use crate::error::Error;
use crate::handover::SharedListeners;
use crate::lifecycle::{self, DRAIN_DELAY, STREAMING_GRACE};
use crate::ops::{self, Ops};
use crate::recorder::Recording;
use crate::route_table;
use crate::upstream::Pool;
use core_parts::{Core, is_observed};
use listen::bind;
use load_balancer::client::discovery;
use load_balancer::client::membership::Membership;
use load_balancer::client::route_table::RouteTableClient;
use signals::{Signals, start_reloads};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

/// Timeout of the wait for discovery's first endpoint list before clients are accepted.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of the wait for the first route table, if one is configured, before clients are accepted.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which expired idle connections are closed; until then they are not used.
const POOL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the proxy until SIGTERM, and then until all requests are answered.
pub async fn run(mut config: Config) -> Result<(), Error> {
    let mut signals = Signals::install()?;
    let descriptors = allocate_descriptors(&config)?;
    let core = Core::new(&mut config, descriptors.usable)?;
    let membership = start_membership(&config, &core).await?;
    let (discovery_sender, discovery) = watch::channel(std::mem::take(&mut config.discovery));
    let (routes, recording) = start_route_table(&config, &core, &membership, &discovery);
    start_ops(&config, &core, &membership, &routes, recording)?;
    track_process_count(&core);
    let first_list = start_discovery(&config, &core, discovery);
    tokio::select! {
        biased;
        // Clients that were accepted now would soon be cut off: the time to the last answer counts from this signal.
        _ = signals.terminate.recv() => {
            info!("stopping: SIGTERM arrived before the listener was open, so there are no clients to answer");
            membership.inspect(Membership::leave);
            return Ok(());
        }
        () = wait_for_first_list_and_table(config.ops.is_some(), first_list, routes) => {}
    }
    let listener = bind("listening", config.listen, config.ops.is_some())?;
    start_reloads(config.origin.clone(), signals.hangup, discovery_sender);
    start_pool_checks(core.pool.clone());
    join_shared_listeners(&config, &core, &listener)?;
    core.lifecycle.begin();
    let time_to_last_answer =
        lifecycle::time_to_last_answer(millis(config.platform.site.longest_client_timeout_ms));
    let serving = start_serving(config, &core, descriptors, listener);
    signals.terminate.recv().await;
    stop(&core, membership, time_to_last_answer, serving).await
}

fn allocate_descriptors(config: &Config) -> Result<Descriptors, Error> {
    let for_routes = if is_observed(config) { route_table::DESCRIPTORS } else { 0 };
    let for_ops = if config.ops.is_some() { ops::DESCRIPTORS } else { 0 };
    Ok(Descriptors::allocate(config.max_descriptors, for_routes + for_ops)?)
}

/// Joins the membership of the tier's proxies, if configured, and passes each change of their number to the engine.
async fn start_membership(config: &Config, core: &Core) -> Result<Option<Rc<Membership>>, Error> {
    let Some(settings) = &config.membership else { return Ok(None) };
    let zone = config.platform.site.zones.get(usize::from(config.platform.settings.zone));
    let zone = zone.map_or("", String::as_str);
    let membership = Membership::bind(settings, zone, config.seed, core.traffic.clone()).await?;
    let mut count = membership.count();
    let engine = core.engine.clone();
    spawn_local(membership.clone().run());
    spawn_local(async move {
        while count.changed().await.is_ok() {
            let now = *count.borrow_and_update();
            engine.set_peers(now.alive, now.known, Some(now.rank));
        }
    });
    Ok(Some(membership))
}

fn start_route_table(
    config: &Config,
    core: &Core,
    membership: &Option<Rc<Membership>>,
    discovery: &watch::Receiver<Vec<SocketAddr>>,
) -> (Option<Rc<RouteTableClient>>, Option<Rc<Recording>>) {
    let Some(observer) = &core.observer else { return (None, None) };
    let parts = route_table::Parts {
        engine: &core.engine,
        counters: &core.counters,
        membership,
        discovery,
        traffic: &core.traffic,
    };
    route_table::start(config, observer, parts)
}

fn start_ops(
    config: &Config,
    core: &Core,
    membership: &Option<Rc<Membership>>,
    routes: &Option<Rc<RouteTableClient>>,
    recording: Option<Rc<Recording>>,
) -> Result<(), Error> {
    let Some(address) = config.ops else { return Ok(()) };
    let listener = bind("ops", address, false)?;
    let ops = Ops {
        engine: core.engine.clone(),
        counters: core.counters.clone(),
        lifecycle: core.lifecycle.clone(),
        membership: membership.clone(),
        routes: routes.clone(),
        recording,
    };
    spawn_local(Rc::new(ops).serve(listener));
    Ok(())
}

/// Passes each change of the number of processes at this address to the engine.
fn track_process_count(core: &Core) {
    let mut count = core.processes.subscribe();
    let engine = core.engine.clone();
    spawn_local(async move {
        while count.changed().await.is_ok() {
            let processes = *count.borrow_and_update();
            info!("{processes} processes at this address");
            engine.set_local_processes(processes);
        }
    });
}

/// Starts the watch of discovery; the returned receiver is notified of the first list.
fn start_discovery(
    config: &Config,
    core: &Core,
    addresses: watch::Receiver<Vec<SocketAddr>>,
) -> oneshot::Receiver<()> {
    let (listed, first_list) = oneshot::channel();
    let settings = config.discovery_settings(core.traffic.clone());
    let listener = ListedEngine(core.engine.clone());
    spawn_local(discovery::run_watch(listener, addresses, settings, core.watch_wanted.clone(), listed));
    first_list
}

/// Waits for the first list and the first route table, each for a limited time. Without a list the cached one is used,
/// and without a table every weight is 1. A process without an ops address replaces no other and does not wait for a
/// list: its `/health/ready` reports when it can serve.
async fn wait_for_first_list_and_table(
    has_ops: bool,
    first_list: oneshot::Receiver<()>,
    routes: Option<Rc<RouteTableClient>>,
) {
    if has_ops {
        let _ = timeout(FIRST_LIST_TIMEOUT, first_list).await;
    }
    if let Some(routes) = routes {
        let _ = timeout(FIRST_TABLE_TIMEOUT, routes.first_table()).await;
    }
}

fn start_pool_checks(pool: Rc<Pool>) {
    spawn_local(async move {
        loop {
            sleep(POOL_CHECK_INTERVAL).await;
            pool.close_expired();
        }
    });
}

/// Joins the processes that listen on this address, which is shared if there is an ops address. If the lock files can't
/// be used, the process continues as if it were the only one.
fn join_shared_listeners(config: &Config, core: &Core, listener: &TcpListener) -> Result<(), Error> {
    let bound = listener.local_addr();
    let bound =
        bound.map_err(|source| Error::Listen { what: "listening", address: config.listen, source })?;
    if config.ops.is_some() {
        match SharedListeners::join(&std::env::temp_dir(), bound) {
            Ok(listeners) => {
                core.pool.sent_ids.share(listeners.id_files(), listeners.own_index());
                drop(spawn_local(listeners.publish_count(core.processes.clone())));
            }
            Err(e) => {
                warn!("not counted among the processes that share {bound}, continuing as the only one: {e}")
            }
        }
    }
    Ok(())
}

fn start_serving(
    config: Config,
    core: &Core,
    descriptors: Descriptors,
    listener: TcpListener,
) -> JoinHandle<()> {
    let downstream = Downstream {
        engine: core.engine.clone(),
        platform: config.platform,
        counters: core.counters.clone(),
        lifecycle: core.lifecycle.clone(),
        connections: core.client_connections,
        spare: descriptors.spare,
        slots: Slots::new(core.memory.client_connections),
        memory: core.memory,
        sent_ids: core.pool.sent_ids.clone(),
        buffer_budget: core.buffer_budget.clone(),
        processes: core.processes.clone(),
        open: Cell::new(0),
    };
    spawn_local(Rc::new(downstream).serve(listener))
}

/// Stops the proxy: all requests are answered within `time_to_last_answer`. Responses that have begun may continue for
/// [`STREAMING_GRACE`], as long as the platform allows, so that a client that does not read its response can't keep the
/// process from ending.
async fn stop(
    core: &Core,
    membership: Option<Rc<Membership>>,
    time_to_last_answer: Duration,
    serving: JoinHandle<()>,
) -> Result<(), Error> {
    info!("stopping: {} open requests are still to be answered", core.engine.unanswered_requests());
    core.lifecycle.stop();
    membership.inspect(Membership::leave);
    core.engine.answer_all_by(Instant::now() + time_to_last_answer);
    let ended = timeout(DRAIN_DELAY + time_to_last_answer + STREAMING_GRACE, serving).await;
    ended.map_or(Ok(()), |served| Ok(served?))
}
