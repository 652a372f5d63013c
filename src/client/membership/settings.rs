//! Settings of the membership. Their names are the keys of the configuration.

use super::swim::{MAX_NAME_BYTES, Timing};
use crate::client::registry::MAX_REGISTRIES;
use serde::Deserialize;
use std::net::SocketAddr;

/// Addresses, identity, seeds and timing of the membership.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// UDP address to bind.
    pub bind: SocketAddr,
    /// Address to which the other members send; by default the bound address.
    pub advertise: Option<SocketAddr>,
    /// Name of the cluster, different for each tier; datagrams of another cluster are dropped. By default `heathroad`.
    #[serde(default = "default_cluster")]
    pub cluster: String,
    /// Name of this process among the members, which stays the same across restarts; by default the advertised address.
    pub name: Option<String>,
    /// Addresses of members to announce this process to; by default none.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Registries that list the tier's proxies and nothing else; by default none.
    #[serde(default)]
    pub registries: Vec<SocketAddr>,
    /// Intervals and timeouts of the protocol.
    #[serde(default)]
    pub timing: Timing,
}

/// Returns the default cluster name, which must not change: proxies of earlier versions use it, and datagrams of
/// another cluster are dropped, so another default would separate the proxies of a tier during a rolling update.
fn default_cluster() -> String {
    "heathroad".into()
}

impl Settings {
    /// Returns the setting that is out of bounds, with its bounds, or `None` if all are valid.
    pub fn invalid(&self) -> Option<String> {
        let name_length = self.name.as_ref().map_or(1, String::len);
        if !(1..=MAX_NAME_BYTES).contains(&name_length) {
            return Some(format!("name: from 1 to {MAX_NAME_BYTES} bytes"));
        }
        if self.registries.len() > MAX_REGISTRIES {
            return Some(format!("registries: at most {MAX_REGISTRIES}"));
        }
        self.timing.invalid().map(|problem| format!("timing.{problem}"))
    }
}
