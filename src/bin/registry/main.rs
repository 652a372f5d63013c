//! registry: the project's own discovery service. It stores the lists of backends durably, answers them as the protocol
//! specifies, with watches, and grants leases. If configured, it also hosts the route table.
//!
//! A start reads the configuration (`config`), opens the data directory (`store`), starts the route table
//! (`route_table`) and the writer thread (`writer`), then serves HTTP (`http`) until SIGTERM. A write is answered as
//! stored only once it is on disk, so a stop needs no further step and a kill loses no answered write.
//!
//! Comments on safeguards have a common form: "Failure" is what would go wrong without the safeguard, "How it shows" is
//! what operators or clients would see then, and "Why the guard holds" is why the code rules it out.

#![forbid(unsafe_code)]
#![warn(clippy::cognitive_complexity)]

mod config;
mod descriptors;
mod error;
mod http;
mod lease;
mod route_table;
mod store;
mod writer;

use clap::Parser;
use config::{Args, Config};
use error::StartError;
use route_table::RouteTableService;
use std::process::ExitCode;
use std::sync::{Arc, mpsc};
use std::time::Instant;
use store::{Log, OpenedStore, State};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{error, info, warn};
use writer::{Shared, WriteQueue};

fn main() -> ExitCode {
    let config = match Config::new(Args::parse()) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("registry: {e}");
            return ExitCode::from(2);
        }
    };
    init_logging(config.log_json);
    match run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(error = %e, "registry stopped");
            ExitCode::FAILURE
        }
    }
}

/// Sets up logging to standard error, at level `info` unless `RUST_LOG` sets another filter.
fn init_logging(as_json: bool) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    let logs = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(filter);
    if as_json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
}

/// Starts all components and serves until SIGTERM.
fn run(mut config: Config) -> Result<(), StartError> {
    config.limits.max_connections = descriptors::raise_limit_for(config.limits.max_connections);
    let (log, state) = open_store(&config)?;
    let route_table = match config.routes.take() {
        Some(routes) => Some(RouteTableService::start(routes, &state, &config.data)?),
        None => None,
    };
    let shared = Arc::new(Shared::new(state, route_table));
    let writes = spawn_writer(log, shared.clone(), config.snapshot_every)?;
    // One thread serves all connections; only the writer thread waits for the disk. More serving threads would need
    // another feature of tokio, which would then also be part of the proxy's build.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::system("event loop"))?;
    runtime.block_on(serve(config, shared, writes))
}

/// Reads the state from the data directory, and writes a snapshot if one is due.
fn open_store(config: &Config) -> Result<(Log, State), StartError> {
    let started = Instant::now();
    let OpenedStore { mut log, state, recovery } =
        Log::open(&config.data, config.sync, config.max_tombstones)
            .map_err(|error| StartError::Data { path: config.data.clone(), error })?;
    if recovery.cut_bytes > 0 {
        // The text of this line is kept because operators search for it (docs/registry.md).
        warn!(
            bytes = recovery.cut_bytes,
            after_records = recovery.records,
            "torn or spoilt tail cut off the log"
        );
    }
    let took_ms = started.elapsed().as_millis() as u64;
    info!(
        seq = state.catalog.newest(),
        entries = state.catalog.entry_count(),
        services = state.catalog.service_count(),
        records = recovery.records,
        snapshot = ?recovery.snapshot_seq,
        took_ms,
        "state read from disk"
    );
    if log.is_snapshot_due(config.snapshot_every) {
        writer::write_snapshot(&mut log, &state);
    }
    Ok((log, state))
}

/// Starts the writer thread, which ends when the returned queue and all its clones are dropped.
fn spawn_writer(log: Log, shared: Arc<Shared>, snapshot_every: u64) -> Result<WriteQueue, StartError> {
    let (writes, requests) = mpsc::channel();
    std::thread::Builder::new()
        .name("writer".into())
        .spawn(move || writer::run(log, shared, requests, snapshot_every))
        .map_err(StartError::system("writer"))?;
    Ok(writes)
}

/// Binds the listener and serves until SIGTERM.
async fn serve(config: Config, shared: Arc<Shared>, writes: WriteQueue) -> Result<(), StartError> {
    let Config { listen, data, sync, limits, .. } = config;
    let listen_failed = |error| StartError::Listen { address: listen.clone(), error };
    let listener = TcpListener::bind(&listen).await.map_err(listen_failed)?;
    let address = listener.local_addr().map_err(listen_failed)?;
    info!(%address, data = %data.display(), ?sync, "listening");
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::system("signal"))?;
    tokio::select! {
        () = http::serve(listener, shared, writes, limits) => {}
        _ = terminate.recv() => info!("SIGTERM: stopping; every answered write is on disk"),
    }
    Ok(())
}
