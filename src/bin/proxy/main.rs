//! The proxy program: the balancer's decisions as a real proxy on sockets. Start, signals and wiring.

#![forbid(unsafe_code)]

mod body;
mod config;
mod counters;
mod descriptors;
mod downstream;
mod engine;
mod error;
mod handover;
mod io;
mod lifecycle;
mod log;
mod observer;
mod ops;
mod recorder;
mod route_table;
mod upstream;

use body::Room;
use config::Config;
use counters::Counters;
use descriptors::Descriptors;
use downstream::Front;
use engine::{Engine, ListedEngine, millis};
use error::Error;
use handover::Siblings;
use lifecycle::{FLOWS, LINGER, Lifecycle};
use load_balancer::client::discovery;
use load_balancer::client::membership::Membership;
use load_balancer::client::traffic::Traffic;
use load_balancer::interface::ListKind;
use observer::Observer;
use ops::Ops;
use std::cell::Cell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};
use tracing::{error, info, warn};
use upstream::Pool;

/// A start waits so long for discovery's first list before it takes clients.
const FIRST_LIST: Duration = Duration::from_millis(1500);
/// And so long for its first route table, where it has one.
const FIRST_TABLE: Duration = Duration::from_millis(500);
/// Connections that the system may keep waiting.
const BACKLOG: u32 = 1024;
/// The share of the memory in which bodies are held; a process that replaces this one needs as much beside it.
const HELD_SHARE: usize = 4;
/// How often kept connections are looked through for old ones; none past its age is used meanwhile, however short.
const SWEEP: Duration = Duration::from_secs(1);
fn main() -> ExitCode {
    log::begin();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), Error> {
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(Error::Runtime)?, run(config))
}

async fn run(mut config: Config) -> Result<(), Error> {
    let awaited =
        |kind, signal: &'static str| self::signal(kind).map_err(|source| Error::Signal { signal, source });
    let mut terminated = awaited(SignalKind::terminate(), "SIGTERM")?;
    let mut reloaded = awaited(SignalKind::hangup(), "SIGHUP")?;
    let kept = if config.routes.is_some() || config.record.is_some() { route_table::DESCRIPTORS } else { 0 };
    let Descriptors { spare, usable } =
        Descriptors::share_out(config.sockets, kept + config.ops.map_or(0, |_| ops::DESCRIPTORS))?;
    let site = &config.facts.site;
    let counters = Counters::new(site.classes.clone());
    let processes = watch::Sender::new(1);
    let limits = upstream::Limits {
        connections: usable / 2,
        processes: processes.subscribe(),
        connect: millis(site.connect_timeout_ms),
        idle: millis(site.connection_idle_ms),
        drain_grace: millis(site.drain_grace_ms),
        may_duplicate: site.may_hedge,
    };
    let room = Room::new(config.memory / HELD_SHARE);
    let pool = Rc::new(Pool::new(limits, counters.attempts(), room.clone()));
    let (watching, wanted) = watch::channel(false);
    let observer = (config.routes.is_some() || config.record.is_some()).then(Observer::new);
    let engine = Engine::new(config.facts.clone(), config.seed, pool.clone(), watching, observer.clone())?;
    let known =
        config.known.take().map(|page| (page.version, page.into_entries().entries)).unwrap_or_default();
    engine.list(ListKind::Cached, known.0, known.1);
    let lifecycle = Rc::new(Lifecycle::new());
    let traffic = Traffic::default();
    let membership = match &config.membership {
        None => None,
        Some(settings) => {
            let zones = &config.facts.site.zones;
            let zone = zones.get(usize::from(config.facts.settings.zone)).map_or("", String::as_str);
            let membership = Membership::bind(settings, zone, config.seed, traffic.clone()).await?;
            let (mut count, told) = (membership.count(), engine.clone());
            spawn_local(membership.clone().run());
            spawn_local(async move {
                while count.changed().await.is_ok() {
                    let now = *count.borrow_and_update();
                    told.peers(now.alive, now.known, Some(now.rank));
                }
            });
            Some(membership)
        }
    };
    let (moved, discovery) = watch::channel(std::mem::take(&mut config.discovery));
    let parts = route_table::Parts {
        engine: &engine,
        counters: &counters,
        membership: &membership,
        discovery: &discovery,
        traffic: &traffic,
    };
    let (routes, recording) =
        observer.map_or((None, None), |observer| route_table::start(&config, &observer, parts));
    if let Some(address) = config.ops {
        let listener = bind("ops", address, false)?;
        let (counters, membership) = (counters.clone(), membership.clone());
        let (routes, lifecycle) = (routes.clone(), lifecycle.clone());
        let ops = Ops { engine: engine.clone(), counters, lifecycle, membership, routes, recording };
        spawn_local(Rc::new(ops).serve(listener));
    }
    // The process that this one may replace serves on, so that there is time to ask for the list first; without
    // an address for operators it replaces nobody and says by /health/ready when it can serve.
    let (mut siblings, told) = (processes.subscribe(), engine.clone());
    spawn_local(async move {
        while siblings.changed().await.is_ok() {
            let processes = *siblings.borrow_and_update();
            info!("{processes} processes at this address");
            told.processes(processes);
        }
    });
    let (listed, first) = oneshot::channel();
    let asked = config.discovery_settings(traffic);
    spawn_local(discovery::run_watch(ListedEngine(engine.clone()), discovery, asked, wanted, listed));
    let told = async {
        if config.ops.is_some() {
            // With no list in time, the one that it had must do.
            let _ = timeout(FIRST_LIST, first).await;
        }
        if let Some(routes) = routes {
            // With no table in time, every weight is 1.
            let _ = timeout(FIRST_TABLE, routes.first_table()).await;
        }
    };
    tokio::select! {
        biased;
        // Nobody was taken yet, and whoever came now would be answered by a time that counts from this signal.
        _ = terminated.recv() => {
            info!("stopping before it listened");
            membership.inspect(Membership::leave);
            return Ok(());
        }
        () = told => {}
    }
    let origin = config.origin;
    let listener = bind("listening", config.listen, config.ops.is_some())?;
    spawn_local(async move {
        while reloaded.recv().await.is_some() {
            match origin.discovery() {
                Ok(to) => {
                    let text = to.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
                    if moved.send_if_modified(|at| std::mem::replace(at, to.clone()) != to) {
                        info!("reloaded, discovery is at {text}");
                    }
                }
                Err(e) => warn!("not reloaded: {e}"),
            }
        }
    });
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            pool.sweep();
        }
    });
    let connections = usable - usable / 2;
    let last = lifecycle::last_answer(millis(config.facts.site.longest_client_timeout_ms));
    let bound = listener.local_addr();
    let bound =
        bound.map_err(|source| Error::Listen { what: "listening", address: config.listen, source })?;
    if config.ops.is_some() {
        // Where they cannot find each other they go on as if alone.
        match Siblings::join(&std::env::temp_dir(), bound) {
            Ok(place) => drop(spawn_local(place.follow(processes.clone()))),
            Err(e) => warn!("no place among the processes here: {e}"),
        }
    }
    lifecycle.begin();
    let (facts, life) = (config.facts, lifecycle.clone());
    let front = Front {
        engine: engine.clone(),
        facts,
        counters,
        lifecycle: life,
        connections,
        spare,
        room,
        processes,
        open: Cell::new(0),
    };
    let serving = spawn_local(Rc::new(front).serve(listener));
    terminated.recv().await;
    info!("stopping, {} requests open", engine.owed());
    lifecycle.stop();
    membership.inspect(Membership::leave);
    engine.end_by(Instant::now() + last);
    // All is answered by `last`, but long answers flow on as long as the platform lets them; a caller that does not
    // take its answer must not keep the program.
    let ended = timeout(LINGER + last + FLOWS, serving).await;
    ended.map_or(Ok(()), |served| Ok(served?))
}

/// Listens, and says where. A shared address may have another process at it, which it replaces.
fn bind(what: &'static str, address: SocketAddr, shared: bool) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        if shared {
            socket.set_reuseport(true)?;
        }
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let failed = |source| Error::Listen { what, address, source };
    let listener = listen().map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    info!("{what} on {bound}");
    Ok(listener)
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/paused/mod.rs"]
mod paused;
