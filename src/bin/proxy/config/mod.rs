//! Reads and validates the configuration: command line, environment and file, in this order of precedence.
//!
//! It is read once at the start; a SIGHUP reads only discovery's addresses again. Keys, flags and variables are an
//! interface to operators and the platform, and do not change.

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

/// Validated configuration of the proxy.
pub struct Config {
    /// Address on which the proxy listens for clients.
    pub listen: SocketAddr,
    /// Addresses of discovery or of its agent, the preferred one first.
    pub discovery: Vec<SocketAddr>,
    /// Service whose backends are called, if the registries have several services.
    pub service: Option<ServiceName>,
    /// Backoff of calls to discovery while it can't be reached. `None`, the default under the platform's JSON file,
    /// selects the short delays of [`PollSchedule`](load_balancer::client::discovery::PollSchedule).
    pub discovery_backoff: Option<PollBackoff>,
    /// Address that operators call, if configured.
    pub ops: Option<SocketAddr>,
    /// Seed of the random numbers of the decision module and of membership.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may hold, in bytes.
    pub memory_bytes: usize,
    /// Endpoint list that the proxy had before it was started, if any.
    pub cached_list: Option<ListPage>,
    /// Settings that the platform gives.
    pub platform: PlatformSettings,
    /// Settings of membership among the proxies of the tier, if configured.
    pub membership: Option<membership::Settings>,
    /// Settings of the route table, if configured.
    pub routes: Option<route_table::Settings>,
    /// Settings of the recorder, if configured.
    pub record: Option<recorder::Settings>,
    /// Name of the proxy in route reports and recordings; empty without them.
    pub name: String,
    /// JSON text of the platform's settings, for recordings; empty without them.
    pub settings_text: String,
    /// Source of the configuration, for a reload.
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

/// Reads the command line, the environment and the file that one of them names.
pub fn load() -> Result<Config, Error> {
    let args = Args::parse();
    load_from(Origin::find(&args)?, args)
}

/// Reads the configuration at `origin`; the command line and the environment take precedence over it.
pub fn load_from(origin: Origin, args: Args) -> Result<Config, Error> {
    let flag_or_variable = |flag: Option<String>, name| flag.or_else(|| env::var(name).ok());
    let mut file = origin.read()?;
    file.service = args.service.or(file.service);
    let discovery = flag_or_variable(args.discovery, "RELAY_DISCOVERY").map(Addresses::One);
    let listen = flag_or_variable(args.listen, "RELAY_LISTEN");
    let ops = flag_or_variable(args.ops, "RELAY_OPS");
    validate(file, origin, listen, discovery, ops)
}

/// Validates the file's values; `listen`, `discovery` and `ops` take precedence over them.
fn validate(
    file: File,
    origin: Origin,
    listen: Option<String>,
    discovery: Option<Addresses>,
    ops: Option<String>,
) -> Result<Config, Error> {
    let settings_text = file.record.as_ref().map_or_else(String::new, |_| file.settings.to_string());
    let mut platform = platform_settings::read(file.settings)?;
    // The platform's protocol requires that a change is applied at once, so that its guard is off unless configured.
    platform.settings.list_guard = file.list_guard.map_or(ListGuard::default(), |g| ListGuard {
        panic_threshold: g.panic_threshold,
        confirm_after_ms: g.hold_ms,
    });
    if let Some(error) = check::first_error(file.limits.sockets, &platform) {
        return Err(Error::Value(error));
    }
    let File { discovery_backoff, membership, routes, record, .. } = file;
    check_sections(&discovery_backoff, &membership, &routes, &record)?;
    let listen = parse_address("listen", listen.or(file.listen))?;
    let name = proxy_name(&membership, &routes, &record, listen)?;
    let service = file.service.map(parse_service).transpose()?;
    let ops = ops.or(file.ops).map(|text| parse_address("ops", Some(text))).transpose()?;
    Ok(Config {
        ops,
        listen,
        service,
        discovery_backoff,
        discovery: parse_discovery(discovery.or(file.discovery))?,
        seed: u64::from_str_radix(&file.seed, 16)?,
        max_descriptors: file.limits.sockets,
        memory_bytes: file.limits.memory_mb.saturating_mul(1 << 20),
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

/// Validates the sections whose types have a validation of their own; an error names the section.
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

/// Returns the proxy's name in route reports and recordings: that of `routes`, else that of `membership`, else one
/// derived from the address. It is empty if neither reports nor recordings are configured.
fn proxy_name(
    membership: &Option<membership::Settings>,
    routes: &Option<route_table::Settings>,
    record: &Option<recorder::Settings>,
    listen: SocketAddr,
) -> Result<String, Error> {
    if routes.is_none() && record.is_none() {
        return Ok(String::new());
    }
    let configured = routes.as_ref().and_then(|r| r.name.as_deref());
    let member = membership.as_ref().and_then(|m| m.name.as_deref());
    route_table::resolve_name(configured, member, listen).map_err(|why| Error::Value(format!("routes.{why}")))
}

/// Parses discovery's addresses, the preferred one first.
fn parse_discovery(configured: Option<Addresses>) -> Result<Vec<SocketAddr>, Error> {
    let texts = match configured {
        None => Vec::new(),
        Some(Addresses::One(text)) => text.split(',').map(|part| part.trim().to_string()).collect(),
        Some(Addresses::Many(texts)) => texts,
    };
    match texts.len() {
        0 => Err(Error::Missing("discovery")),
        1..=MAX_REGISTRIES => texts.into_iter().map(|text| parse_address("discovery", Some(text))).collect(),
        _ => Err(Error::TooManyRegistries(MAX_REGISTRIES)),
    }
}

fn parse_address(key: &'static str, text: Option<String>) -> Result<SocketAddr, Error> {
    let text = text.ok_or(Error::Missing(key))?;
    text.parse().map_err(|source| Error::Address { key, text, source })
}

fn parse_service(text: String) -> Result<ServiceName, Error> {
    Ok(ServiceName::new(&text)?)
}
