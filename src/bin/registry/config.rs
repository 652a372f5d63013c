//! The command line and the configuration file.

use crate::error::StartError;
use crate::http::Limits;
use crate::route_table::RoutesConfig;
use crate::store::SyncMode;
use clap::Parser;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;

/// Connections open at once, where nothing is configured. A proxy holds up to four (list, route table, reports, recorded
/// segments), so that these do for 12,500 proxies. At 15.7 KiB each (measured, `cargo bench --bench registry`) they take
/// 767 MiB.
const MAX_CONNECTIONS: usize = 50_000;
/// Longest body of a write, in bytes, where nothing is configured: 10,000 entries of 400 bytes, or a route table of 16,384
/// weights with names of 200. Of all bodies in work together 64 MiB are held.
const MAX_BODY: usize = 4 << 20;

/// The command line; each flag goes before the same key of the configuration file.
#[derive(Parser)]
#[command(name = "registry", version, about = "The list service that the proxy's discovery reads")]
pub struct Args {
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
    sync: Option<SyncMode>,
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
    sync: Option<SyncMode>,
    snapshot_every: Option<u64>,
    max_tombstones: Option<usize>,
    max_connections: Option<usize>,
    header_timeout_ms: Option<u64>,
    max_body_bytes: Option<usize>,
    log_json: Option<bool>,
    routes: Option<RoutesConfig>,
}

/// What a start goes by.
pub struct Config {
    /// Address to serve on.
    pub listen: String,
    /// The data directory.
    pub data: PathBuf,
    /// When a write is on disk.
    pub sync: SyncMode,
    /// Changes between snapshots.
    pub snapshot_every: u64,
    /// Deletions kept.
    pub max_tombstones: usize,
    /// Logs as JSON lines.
    pub log_json: bool,
    /// Limits of the serving side.
    pub limits: Limits,
    /// The route table, where it is hosted.
    pub routes: Option<RoutesConfig>,
}

impl Config {
    /// From the flags, the file that they name, and the defaults.
    pub fn new(args: Args) -> Result<Config, StartError> {
        let file = match args.config {
            None => File::default(),
            Some(path) => {
                let text = std::fs::read_to_string(&path)
                    .map_err(|error| StartError::ConfigRead { path: path.clone(), error })?;
                toml::from_str(&text).map_err(|error| StartError::Config { path, error })?
            }
        };
        let header_timeout = args.header_timeout_ms.or(file.header_timeout_ms).unwrap_or(10_000);
        Ok(Config {
            listen: args.listen.or(file.listen).unwrap_or_else(|| "127.0.0.1:7400".into()),
            data: args.data.or(file.data).unwrap_or_else(|| "registry-data".into()),
            sync: args.sync.or(file.sync).unwrap_or(SyncMode::Group),
            snapshot_every: args.snapshot_every.or(file.snapshot_every).unwrap_or(100_000).max(1),
            max_tombstones: args.max_tombstones.or(file.max_tombstones).unwrap_or(100_000),
            log_json: args.log_json || file.log_json.unwrap_or(false),
            limits: Limits {
                connections: args.max_connections.or(file.max_connections).unwrap_or(MAX_CONNECTIONS).max(1),
                header_timeout: Duration::from_millis(header_timeout),
                max_body: file.max_body_bytes.unwrap_or(MAX_BODY),
            },
            routes: file.routes.filter(|routes| routes.service.enabled),
        })
    }
}
