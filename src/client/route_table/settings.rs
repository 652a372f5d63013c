//! Settings under `[routes]` of the proxy, and the name under which the process reports.

use crate::client::registry::MAX_REGISTRIES;
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest name, in bytes; the same limit as for a member.
const MAX_NAME_BYTES: usize = 63;
/// Shortest interval between reports, ms.
const MIN_REPORT_MS: u64 = 100;
/// Longest interval between reports, ms.
const MAX_REPORT_MS: u64 = 60_000;

/// Registries, name and report interval of the route table client.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Addresses of the registries, the preferred one first; those of discovery if empty.
    pub registries: Vec<SocketAddr>,
    /// Name of this process, which stays the same across restarts. By default the name of membership, or else the
    /// address on which the process listens.
    pub name: Option<String>,
    /// Mean interval between reports, ms; each interval is randomly up to a fifth shorter or longer.
    pub report_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { registries: Vec::new(), name: None, report_ms: 5000 }
    }
}

impl Settings {
    /// Returns the first setting that is out of bounds, with its bounds, or `None` if all are valid.
    pub fn invalid(&self) -> Option<String> {
        if self.registries.len() > MAX_REGISTRIES {
            return Some(format!("registries: at most {MAX_REGISTRIES}"));
        }
        let valid = (MIN_REPORT_MS..=MAX_REPORT_MS).contains(&self.report_ms);
        (!valid).then(|| format!("report_ms: from {MIN_REPORT_MS} to {MAX_REPORT_MS}"))
    }
}

/// Returns the name of this process: the configured one, or else that of membership, or else the address on which the
/// process listens.
///
/// # Errors
///
/// Returns a description of the allowed names, as text for the operator, if the name is not allowed.
pub fn resolve_name(
    configured: Option<&str>,
    member: Option<&str>,
    listen: SocketAddr,
) -> Result<String, &'static str> {
    let name = match configured.or(member) {
        Some(name) => name.to_string(),
        // The operating system chooses the port, so the address is not known yet. The name changes with each restart.
        None if listen.port() == 0 => format!("{}-{}", listen.ip(), std::process::id()),
        None => listen.to_string(),
    };
    // The name is part of the path of requests to the registry.
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._:-".contains(&b);
    match (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed) {
        true => Ok(name),
        false => Err(
            "name: from 1 to 63 letters, digits and . _ : - only; set it here if membership.name has others",
        ),
    }
}
