//! registry: the project's own list service. Discovery as the protocol states it, durable, with watches.

#![forbid(unsafe_code)]

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
use route_table::Host;
use std::process::ExitCode;
use std::sync::{Arc, mpsc};
use std::time::Instant;
use store::Log;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{error, info, warn};
use writer::Shared;

fn main() -> ExitCode {
    let config = match Config::new(Args::parse()) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("registry: {e}");
            return ExitCode::from(2);
        }
    };
    let logs = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(
        tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()),
    );
    if config.log_json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    match start(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(error = %e, "registry stopped");
            ExitCode::FAILURE
        }
    }
}

fn start(config: Config) -> Result<(), StartError> {
    let Config { listen, data, sync, snapshot_every, max_tombstones, mut limits, routes, .. } = config;
    limits.connections = descriptors::allow(limits.connections);
    let started = Instant::now();
    let (mut log, state, found) = Log::open(&data, sync, max_tombstones)
        .map_err(|error| StartError::Data { path: data.clone(), error })?;
    if found.cut > 0 {
        warn!(bytes = found.cut, after_records = found.records, "torn or spoilt tail cut off the log");
    }
    let took_ms = started.elapsed().as_millis() as u64;
    info!(seq = state.catalog.newest(), entries = state.catalog.live(), services = state.catalog.services(), records = found.records, snapshot = ?found.snapshot_seq, took_ms,
        "state read from disk");
    if log.due(snapshot_every) {
        writer::write_snapshot(&mut log, &state);
    }
    let routes = match routes {
        Some(config) => Some(Host::start(config, &state, &data)?),
        None => None,
    };
    let shared = Arc::new(Shared::new(state, routes));
    let (writes, write_requests) = mpsc::channel();
    let for_writer = shared.clone();
    std::thread::Builder::new()
        .name("writer".into())
        .spawn(move || writer::run(log, for_writer, write_requests, snapshot_every))
        .map_err(StartError::system("writer"))?;
    // One thread serves; the writer thread waits on the disk, and the proxy's build keeps the tokio features it had.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::system("event loop"))?;
    runtime.block_on(async move {
        let no_listener = |error| StartError::Listen { address: listen.clone(), error };
        let listener = TcpListener::bind(&listen).await.map_err(no_listener)?;
        let address = listener.local_addr().map_err(no_listener)?;
        info!(%address, data = %data.display(), ?sync, "listening");
        let mut stop = signal(SignalKind::terminate()).map_err(StartError::system("signal"))?;
        tokio::select! {
            () = http::serve(listener, shared, writes, limits) => {}
            _ = stop.recv() => info!("SIGTERM: stopping; every answered write is on disk"),
        }
        Ok(())
    })
}
