//! The settings under `[routes]` of the proxy, and the name that the process reports under.

use crate::client::registry::MAX_REGISTRIES;
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest name, in bytes: that of a member.
const MAX_NAME_BYTES: usize = 63;
/// Shortest interval between reports, ms.
const MIN_REPORT_MS: u64 = 100;
/// Longest interval between reports, ms.
const MAX_REPORT_MS: u64 = 60_000;

/// Where the table is watched and where reports are sent.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Registries, the preferred one first; empty for those of discovery.
    pub registries: Vec<SocketAddr>,
    /// Name of this process, the same after a restart. By default that of membership, or else the address it
    /// listens on.
    pub name: Option<String>,
    /// Interval between reports, ms; each is up to a fifth shorter or longer at random.
    pub report_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { registries: Vec::new(), name: None, report_ms: 5000 }
    }
}

impl Settings {
    /// The first invalid setting, as text for the operator.
    pub fn invalid(&self) -> Option<String> {
        if self.registries.len() > MAX_REGISTRIES {
            return Some(format!("registries: at most {MAX_REGISTRIES}"));
        }
        let valid = (MIN_REPORT_MS..=MAX_REPORT_MS).contains(&self.report_ms);
        (!valid).then(|| format!("report_ms: from {MIN_REPORT_MS} to {MAX_REPORT_MS}"))
    }
}

/// The name of this process: the configured one, or that of membership, or the address that it listens on.
///
/// # Errors
///
/// What is wrong with the name, as text for the operator.
pub fn resolve_name(
    configured: Option<&str>,
    member: Option<&str>,
    listen: SocketAddr,
) -> Result<String, &'static str> {
    let name = match configured.or(member) {
        Some(name) => name.to_string(),
        // The system chooses the port, so that the address is not known yet. The name changes with each
        // restart.
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
