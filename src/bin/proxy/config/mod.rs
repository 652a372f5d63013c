//! What the proxy is told at its start: the environment and the configuration file, checked.

mod check;
mod discovery;
mod error;
mod file;
mod origin;

pub use error::Error;
pub use origin::Origin;

use crate::recorder;
use clap::Parser;
use file::{Addresses, File};
use load_balancer::catalog::ServiceName;
use load_balancer::client::discovery::PollBackoff;
use load_balancer::client::list::ListPage;
use load_balancer::client::registry::MAX_REGISTRIES;
use load_balancer::client::{membership, route_table};
use load_balancer::interface::ListGuard;
use load_balancer::platform_settings::{self, PlatformSettings};
use std::env;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All that a start needs.
pub struct Config {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where discovery, or its agent, answers; the preferred one first.
    pub discovery: Vec<SocketAddr>,
    /// The service whose backends it calls, where registries tell services apart.
    pub service: Option<ServiceName>,
    /// How seldom discovery is asked while it cannot be reached; without it, and under the platform's protocol, often.
    pub discovery_backoff: Option<PollBackoff>,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// How much memory it may hold.
    pub memory: usize,
    /// The list of backends as this proxy last had it.
    pub known: Option<ListPage>,
    /// The settings.
    pub facts: PlatformSettings,
    /// How it takes part among the proxies of its tier, if it does.
    pub membership: Option<membership::Settings>,
    /// How it has its picks weighed by the route table, if it does.
    pub routes: Option<route_table::Settings>,
    /// What it records, if anything.
    pub record: Option<recorder::Settings>,
    /// The name that it goes by in either.
    pub name: String,
    /// The settings as they were read, for what is recorded.
    pub text: String,
    /// Where all this was read, for a reload.
    pub origin: Origin,
}

/// The command line. What it names goes before the environment, and that before the file.
#[derive(Parser)]
#[command(name = "proxy", version, about = "A load-balancing proxy for one tier of services")]
pub struct Args {
    /// A TOML file with the same keys as the JSON that RELAY_CONFIG names, which is read without it.
    #[arg(long, conflicts_with = "local")]
    config: Option<PathBuf>,
    /// Run on the embedded configuration for trying things out on this machine (deploy/local.toml).
    #[arg(long)]
    local: bool,
    /// Address to listen on.
    #[arg(long)]
    listen: Option<String>,
    /// Addresses of discovery, the preferred one first, parted by commas.
    #[arg(long)]
    discovery: Option<String>,
    /// The service whose backends are called: 1 to 63 of a-z, 0-9, '.' and '-'.
    #[arg(long)]
    service: Option<String>,
    /// Address that operators call.
    #[arg(long)]
    ops: Option<String>,
}

/// Reads the command line, the environment and the file that either names.
pub fn load() -> Result<Config, Error> {
    let args = Args::parse();
    load_from(Origin::find(&args)?, args)
}

/// Reads the configuration at `origin`, before which goes what the command line and the environment tell.
pub fn load_from(origin: Origin, args: Args) -> Result<Config, Error> {
    let told = |flag: Option<String>, name| flag.or_else(|| env::var(name).ok());
    let mut file = origin.read()?;
    file.service = args.service.or(file.service);
    let discovery = told(args.discovery, "RELAY_DISCOVERY").map(Addresses::One);
    checked(file, origin, told(args.listen, "RELAY_LISTEN"), discovery, told(args.ops, "RELAY_OPS"))
}

/// What goes before the file stands beside it.
fn checked(
    file: File,
    origin: Origin,
    listen: Option<String>,
    discovery: Option<Addresses>,
    ops: Option<String>,
) -> Result<Config, Error> {
    let text = file.record.as_ref().map_or_else(String::new, |_| file.settings.to_string());
    let mut facts = platform_settings::read(file.settings)?;
    // Under the platform's protocol a change that was told binds at once: there the guard is off unless asked for.
    facts.settings.list_guard = file.list_guard.map_or(ListGuard::default(), |g| ListGuard {
        panic_threshold: g.panic_threshold,
        confirm_after_ms: g.hold_ms,
    });
    if let Some(what) = check::wrong(file.limits.sockets, &facts) {
        return Err(Error::Value(what));
    }
    if let Some(why) = file.discovery_backoff.as_ref().and_then(PollBackoff::invalid) {
        return Err(Error::Value(format!("discovery_backoff.{why}")));
    }
    if let Some(why) = file.membership.as_ref().and_then(membership::Settings::invalid) {
        return Err(Error::Value(format!("membership.{why}")));
    }
    if let Some(why) = file.routes.as_ref().and_then(route_table::Settings::invalid) {
        return Err(Error::Value(format!("routes.{why}")));
    }
    if let Some(why) = file.record.as_ref().and_then(recorder::Settings::invalid) {
        return Err(Error::Value(format!("record.{why}")));
    }
    let listen = address("listen", listen.or(file.listen))?;
    let name = match file.routes.is_some() || file.record.is_some() {
        true => {
            let own = file.routes.as_ref().and_then(|r| r.name.as_deref());
            let member = file.membership.as_ref().and_then(|m| m.name.as_deref());
            route_table::resolve_name(own, member, listen)
                .map_err(|why| Error::Value(format!("routes.{why}")))?
        }
        false => String::new(),
    };
    let service = file.service.map(service).transpose()?;
    let ops = ops.or(file.ops).map(|text| address("ops", Some(text))).transpose()?;
    Ok(Config {
        ops,
        listen,
        service,
        discovery_backoff: file.discovery_backoff,
        discovery: addresses(discovery.or(file.discovery))?,
        seed: u64::from_str_radix(&file.seed, 16)?,
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb.saturating_mul(1 << 20),
        known: file.known,
        facts,
        membership: file.membership,
        routes: file.routes,
        record: file.record,
        name,
        text,
        origin,
    })
}

/// Discovery's addresses, the preferred one first.
fn addresses(told: Option<Addresses>) -> Result<Vec<SocketAddr>, Error> {
    let told = match told {
        None => Vec::new(),
        Some(Addresses::One(text)) => text.split(',').map(|part| part.trim().to_string()).collect(),
        Some(Addresses::Many(texts)) => texts,
    };
    match told.len() {
        0 => Err(Error::Missing("discovery")),
        1..=MAX_REGISTRIES => told.into_iter().map(|text| address("discovery", Some(text))).collect(),
        _ => Err(Error::ManyRegistries(MAX_REGISTRIES)),
    }
}

fn address(key: &'static str, text: Option<String>) -> Result<SocketAddr, Error> {
    let text = text.ok_or(Error::Missing(key))?;
    text.parse().map_err(|source| Error::Address { key, text, source })
}

fn service(text: String) -> Result<ServiceName, Error> {
    Ok(ServiceName::new(&text)?)
}
