//! The registry's configuration: the command line, the TOML file that it names and the defaults, in this order of
//! precedence.
//!
//! Command line and file are read once, at the start. Their keys are described in `docs/registry.md`.

use crate::error::StartError;
use crate::http::Limits;
use crate::route_table::RoutesConfig;
use crate::store::SyncMode;
use clap::Parser;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Default maximum number of open connections. A proxy has up to four (list, route table, reports, recorded
/// segments), so this is enough for 12,500 proxies. At 15.7 KiB each (measured, `cargo bench --bench registry`) they
/// take 767 MiB.
const DEFAULT_MAX_CONNECTIONS: usize = 50_000;
/// Default maximum length of the body of a write, in bytes: 10,000 entries of 400 bytes, or a route table of 16,384
/// weights with names of 200 bytes. The bodies of all writes that are read at the same time take at most 64 MiB, or
/// this length if it is more. Reports and recorded segments have separate budgets (`http/context.rs`).
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;

/// The command line. A flag takes precedence over the same key of the configuration file. The doc comments of the
/// fields are the help texts.
#[derive(Parser)]
#[command(name = "registry", version, about = "The list service that the proxy's discovery reads")]
pub(crate) struct Args {
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

/// The configuration file. Every key is optional, and an unknown key is an error.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct ConfigFile {
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

impl ConfigFile {
    fn read(path: &Path) -> Result<ConfigFile, StartError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| StartError::ConfigRead { path: path.to_path_buf(), error })?;
        toml::from_str(&text).map_err(|error| StartError::Config { path: path.to_path_buf(), error })
    }
}

/// The effective configuration of the registry.
pub(crate) struct Config {
    /// Address to listen on, as `HOST:PORT`.
    pub(crate) listen: String,
    /// Path of the data directory.
    pub(crate) data: PathBuf,
    /// Mode in which records are synced to disk.
    pub(crate) sync: SyncMode,
    /// Number of records between two snapshots, at least 1.
    pub(crate) snapshot_every: u64,
    /// Maximum number of deletions that are kept for deltas.
    pub(crate) max_tombstones: usize,
    /// True if log lines are written as JSON.
    pub(crate) log_json: bool,
    /// Limits on connections and requests.
    pub(crate) limits: Limits,
    /// Configuration of the route table; `None` if it is not hosted.
    pub(crate) routes: Option<RoutesConfig>,
}

impl Config {
    /// Reads the configuration file, if one is named, and fills in the defaults.
    pub(crate) fn new(args: Args) -> Result<Config, StartError> {
        let file = match &args.config {
            None => ConfigFile::default(),
            Some(path) => ConfigFile::read(path)?,
        };
        let header_timeout_ms = args.header_timeout_ms.or(file.header_timeout_ms).unwrap_or(10_000);
        Ok(Config {
            listen: args.listen.or(file.listen).unwrap_or_else(|| "127.0.0.1:7400".into()),
            data: args.data.or(file.data).unwrap_or_else(|| "registry-data".into()),
            sync: args.sync.or(file.sync).unwrap_or(SyncMode::Group),
            snapshot_every: args.snapshot_every.or(file.snapshot_every).unwrap_or(100_000).max(1),
            max_tombstones: args.max_tombstones.or(file.max_tombstones).unwrap_or(100_000),
            log_json: args.log_json || file.log_json.unwrap_or(false),
            limits: Limits {
                max_connections: args
                    .max_connections
                    .or(file.max_connections)
                    .unwrap_or(DEFAULT_MAX_CONNECTIONS)
                    .max(1),
                io_timeout: Duration::from_millis(header_timeout_ms),
                max_body_bytes: file.max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
            },
            routes: file.routes.filter(|routes| routes.service.enabled),
        })
    }
}
