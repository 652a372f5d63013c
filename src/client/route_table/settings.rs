//! What operators configure of the routing.

use crate::client::registry::MAX_REGISTRIES;
use serde::Deserialize;
use std::net::SocketAddr;

/// Longest name, as among the members.
const MAX_NAME: usize = 63;
/// From how often to how seldom a report may go out, ms.
const REPORT_MS: (u64, u64) = (100, 60_000);

/// Where the table is watched and reports go.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Registries, the preferred one first; discovery's where none is named.
    pub registries: Vec<SocketAddr>,
    /// This process's name, the same after a restart; that among the members, or else the address it listens on.
    pub name: Option<String>,
    /// A report goes out so often, ms, up to a fifth sooner or later by chance.
    pub report_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { registries: Vec::new(), name: None, report_ms: 5000 }
    }
}

impl Settings {
    /// What is wrong with them, if anything is.
    pub fn invalid(&self) -> Option<String> {
        if self.registries.len() > MAX_REGISTRIES {
            return Some(format!("registries: at most {MAX_REGISTRIES}"));
        }
        let (least, most) = REPORT_MS;
        (!(least..=most).contains(&self.report_ms)).then(|| format!("report_ms: from {least} to {most}"))
    }
}

/// The name that this process goes by: the configured one, or that among the members, or the address that it listens on.
pub fn named(own: Option<&str>, member: Option<&str>, listen: SocketAddr) -> Result<String, &'static str> {
    let name = match own.or(member) {
        Some(name) => name.to_string(),
        // The system chooses the port: a restart brings another name, as it brings another port.
        None if listen.port() == 0 => format!("{}-{}", listen.ip(), std::process::id()),
        None => listen.to_string(),
    };
    // It stands in a path.
    let good = |b: u8| b.is_ascii_alphanumeric() || b"._:-".contains(&b);
    match (1..=MAX_NAME).contains(&name.len()) && name.bytes().all(good) {
        true => Ok(name),
        false => Err(
            "name: from 1 to 63 letters, digits and . _ : - only; set it here if membership.name has others",
        ),
    }
}
