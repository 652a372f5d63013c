//! registry: the project's own list service. Discovery as the protocol states it, durable, with watches.

#![forbid(unsafe_code)]

mod lease;
mod server;
mod store;
mod writer;

use clap::Parser;
use serde::Deserialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use store::{Log, Sync};
use tokio::net::TcpListener;
use tracing::{error, info, warn};
use writer::Shared;

/// The command line; each flag goes before the same key of the configuration file.
#[derive(Parser)]
#[command(name = "registry", version, about = "The list service that heathroad's discovery reads")]
struct Args {
    /// A TOML file with the keys below.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Address to serve on, such as 127.0.0.1:7400; port 0 takes a free one.
    #[arg(long)]
    listen: Option<String>,
    /// Directory of the log and the snapshot.
    #[arg(long)]
    data: Option<PathBuf>,
    /// `group` shares one fsync among writes that arrive together; `each` syncs every record.
    #[arg(long, value_enum)]
    sync: Option<Sync>,
    /// A snapshot is written, and the log begun anew, after so many changes.
    #[arg(long)]
    snapshot_every: Option<u64>,
    /// Deletions kept for deltas; a watch from before the oldest one gets the whole list.
    #[arg(long)]
    max_tombstones: Option<usize>,
    /// Connections open at once.
    #[arg(long)]
    max_connections: Option<usize>,
    /// Milliseconds in which a request's head must arrive.
    #[arg(long)]
    header_timeout_ms: Option<u64>,
    /// Logs as JSON lines.
    #[arg(long)]
    log_json: bool,
}

/// The configuration file. Every key may be left out.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct File {
    listen: Option<String>,
    data: Option<PathBuf>,
    sync: Option<Sync>,
    snapshot_every: Option<u64>,
    max_tombstones: Option<usize>,
    max_connections: Option<usize>,
    header_timeout_ms: Option<u64>,
    max_body_bytes: Option<usize>,
    log_json: Option<bool>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let file = match &args.config {
        None => File::default(),
        Some(path) => match std::fs::read_to_string(path)
            .map_err(|e| e.to_string())
            .and_then(|t| toml::from_str::<File>(&t).map_err(|e| e.to_string()))
        {
            Ok(file) => file,
            Err(e) => {
                eprintln!("registry: config: {}: {e}", path.display());
                return ExitCode::from(2);
            }
        },
    };
    let json = args.log_json || file.log_json.unwrap_or(false);
    let logs = tracing_subscriber::fmt().with_writer(std::io::stderr).with_env_filter(
        tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into()),
    );
    if json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    match start(args, file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(error = %e, "registry stopped");
            ExitCode::FAILURE
        }
    }
}

fn start(args: Args, file: File) -> Result<(), String> {
    let listen = args.listen.or(file.listen).unwrap_or_else(|| "127.0.0.1:7400".into());
    let data = args.data.or(file.data).unwrap_or_else(|| "registry-data".into());
    let sync = args.sync.or(file.sync).unwrap_or(Sync::Group);
    let snapshot_every = args.snapshot_every.or(file.snapshot_every).unwrap_or(100_000).max(1);
    let max_tombstones = args.max_tombstones.or(file.max_tombstones).unwrap_or(100_000);
    let limits = server::Limits {
        connections: args.max_connections.or(file.max_connections).unwrap_or(10_000).max(1),
        header_timeout: Duration::from_millis(
            args.header_timeout_ms.or(file.header_timeout_ms).unwrap_or(10_000),
        ),
        max_body: file.max_body_bytes.unwrap_or(1 << 20),
    };
    let started = Instant::now();
    let (mut log, state, found) =
        Log::open(&data, sync, max_tombstones).map_err(|e| format!("data: {}: {e}", data.display()))?;
    if found.cut > 0 {
        warn!(bytes = found.cut, after_records = found.records, "torn or spoilt tail cut off the log");
    }
    let took_ms = started.elapsed().as_millis() as u64;
    info!(seq = state.seq, entries = state.live(), records = found.records, snapshot = ?found.snapshot_seq, took_ms,
        "state read from disk");
    if log.since_snapshot >= snapshot_every {
        writer::compact(&mut log, &state);
    }
    let shared = Arc::new(Shared::new(state));
    let (orders, taken) = mpsc::channel();
    let for_writer = shared.clone();
    std::thread::Builder::new()
        .name("writer".into())
        .spawn(move || writer::run(log, for_writer, taken, snapshot_every))
        .map_err(|e| format!("writer: {e}"))?;
    // One thread serves; the writer thread waits on the disk, and the proxy's build keeps the tokio features it had.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    runtime.block_on(async move {
        let listener = TcpListener::bind(&listen).await.map_err(|e| format!("listen: {listen}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        info!(%address, data = %data.display(), ?sync, "listening");
        let mut stop = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|e| e.to_string())?;
        tokio::select! {
            () = server::serve(listener, shared, orders, limits) => {}
            _ = stop.recv() => info!("SIGTERM: stopping; every answered write is on disk"),
        }
        Ok(())
    })
}
