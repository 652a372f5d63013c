//! The configuration: command line, environment and file, in this order of precedence, read and checked.
//!
//! Acts once, at the start, and at each SIGHUP for discovery's addresses. Keys, flags and variables are the operators' and
//! the platform's, and do not change.

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
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Addresses of discovery, or of its agent; the preferred one first.
    pub discovery: Vec<SocketAddr>,
    /// The service whose backends are called, where the registries have several services.
    pub service: Option<ServiceName>,
    /// PollBackoff of calls to discovery while it cannot be reached; without it, and under the platform's protocol, a short
    /// one.
    pub discovery_backoff: Option<PollBackoff>,
    /// The operators' address, if there is one.
    pub ops: Option<SocketAddr>,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// How much memory the process may hold, bytes.
    pub memory: usize,
    /// The list of backends that this proxy had before its start.
    pub cached_list: Option<ListPage>,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// Membership among the proxies of the tier, where configured.
    pub membership: Option<membership::Settings>,
    /// The route table, where configured.
    pub routes: Option<route_table::Settings>,
    /// The recorder, where configured.
    pub record: Option<recorder::Settings>,
    /// This proxy's name in route reports and recordings; empty without them.
    pub name: String,
    /// The settings as they were read, for recordings.
    pub settings_text: String,
    /// Where the file was read, for a reload.
    pub origin: Origin,
}

/// The command line. It takes precedence over the environment, and that over the file.
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

/// Reads the configuration at `origin`; the command line and the environment take precedence.
pub fn load_from(origin: Origin, args: Args) -> Result<Config, Error> {
    let flag_or_variable = |flag: Option<String>, name| flag.or_else(|| env::var(name).ok());
    let mut file = origin.read()?;
    file.service = args.service.or(file.service);
    let discovery = flag_or_variable(args.discovery, "RELAY_DISCOVERY").map(Addresses::One);
    let listen = flag_or_variable(args.listen, "RELAY_LISTEN");
    let ops = flag_or_variable(args.ops, "RELAY_OPS");
    checked(file, origin, listen, discovery, ops)
}

/// Checks the file's values; `listen`, `discovery` and `ops` take precedence over them.
fn checked(
    file: File,
    origin: Origin,
    listen: Option<String>,
    discovery: Option<Addresses>,
    ops: Option<String>,
) -> Result<Config, Error> {
    let settings_text = file.record.as_ref().map_or_else(String::new, |_| file.settings.to_string());
    let mut platform = platform_settings::read(file.settings)?;
    // Under the platform's protocol a change must be applied at once: there the guard is off unless it is configured.
    platform.settings.list_guard = file.list_guard.map_or(ListGuard::default(), |g| ListGuard {
        panic_threshold: g.panic_threshold,
        confirm_after_ms: g.hold_ms,
    });
    if let Some(what) = check::first_error(file.limits.sockets, &platform) {
        return Err(Error::Value(what));
    }
    let File { discovery_backoff, membership, routes, record, .. } = file;
    check_sections(&discovery_backoff, &membership, &routes, &record)?;
    let listen = address("listen", listen.or(file.listen))?;
    let name = proxy_name(&membership, &routes, &record, listen)?;
    let service = file.service.map(service).transpose()?;
    let ops = ops.or(file.ops).map(|text| address("ops", Some(text))).transpose()?;
    Ok(Config {
        ops,
        listen,
        service,
        discovery_backoff,
        discovery: addresses(discovery.or(file.discovery))?,
        seed: u64::from_str_radix(&file.seed, 16)?,
        sockets: file.limits.sockets,
        memory: file.limits.memory_mb.saturating_mul(1 << 20),
        cached_list: file.known,
        platform,
        membership,
        routes,
        record,
        name,
        settings_text,
        origin,
    })
}

/// Checks the sections that check themselves; an error names the section.
fn check_sections(
    discovery_backoff: &Option<PollBackoff>,
    membership: &Option<membership::Settings>,
    routes: &Option<route_table::Settings>,
    record: &Option<recorder::Settings>,
) -> Result<(), Error> {
    let invalid = |section, why| Err(Error::Value(format!("{section}.{why}")));
    if let Some(why) = discovery_backoff.as_ref().and_then(PollBackoff::invalid) {
        return invalid("discovery_backoff", why);
    }
    if let Some(why) = membership.as_ref().and_then(membership::Settings::invalid) {
        return invalid("membership", why);
    }
    if let Some(why) = routes.as_ref().and_then(route_table::Settings::invalid) {
        return invalid("routes", why);
    }
    if let Some(why) = record.as_ref().and_then(recorder::Settings::invalid) {
        return invalid("record", why);
    }
    Ok(())
}

/// The name of this proxy in route reports and recordings: that of `routes`, else that of `membership`, else one made of
/// the address; empty where neither reports nor recordings are configured.
fn proxy_name(
    membership: &Option<membership::Settings>,
    routes: &Option<route_table::Settings>,
    record: &Option<recorder::Settings>,
    listen: SocketAddr,
) -> Result<String, Error> {
    if routes.is_none() && record.is_none() {
        return Ok(String::new());
    }
    let own = routes.as_ref().and_then(|r| r.name.as_deref());
    let member = membership.as_ref().and_then(|m| m.name.as_deref());
    route_table::resolve_name(own, member, listen).map_err(|why| Error::Value(format!("routes.{why}")))
}

/// Discovery's addresses, the preferred one first.
fn addresses(configured: Option<Addresses>) -> Result<Vec<SocketAddr>, Error> {
    let texts = match configured {
        None => Vec::new(),
        Some(Addresses::One(text)) => text.split(',').map(|part| part.trim().to_string()).collect(),
        Some(Addresses::Many(texts)) => texts,
    };
    match texts.len() {
        0 => Err(Error::Missing("discovery")),
        1..=MAX_REGISTRIES => texts.into_iter().map(|text| address("discovery", Some(text))).collect(),
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
