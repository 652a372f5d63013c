//! The membership's settings. Their names are the keys of the configuration.

use super::swim::{MAX_NAME_BYTES, Timing};
use crate::client::registry::MAX_REGISTRIES;
use serde::Deserialize;
use std::net::SocketAddr;

/// Where the membership runs, and with whom.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// UDP address to listen on.
    pub bind: SocketAddr,
    /// Address that the other members send to; by default the bound one.
    pub advertise: Option<SocketAddr>,
    /// Name of the cluster, one for each tier; datagrams of another cluster are dropped. By default `heathroad`.
    #[serde(default = "default_cluster")]
    pub cluster: String,
    /// This process's name among the members, the same after a restart; by default the advertised address.
    pub name: Option<String>,
    /// Members to announce this process to; by default none.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Registries that list the tier's proxies and nothing else; by default none.
    #[serde(default)]
    pub registries: Vec<SocketAddr>,
    /// The protocol's times.
    #[serde(default)]
    pub timing: Timing,
}

/// Kept: datagrams of another cluster are dropped, and proxies of earlier versions use this name. Another default would
/// part the proxies of a tier during a rolling update.
fn default_cluster() -> String {
    "heathroad".into()
}

impl Settings {
    /// The setting that is out of bounds and its bounds, if one is.
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
