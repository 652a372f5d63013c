//! Where membership runs, and with whom.

use super::swim::{MAX_NAME, Timing};
use crate::client::registry::MAX_REGISTRIES;
use serde::Deserialize;
use std::net::SocketAddr;

/// Where it runs, and with whom.
#[derive(Deserialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// UDP address to listen on.
    pub bind: SocketAddr,
    /// Address that the others send to, where that differs.
    pub advertise: Option<SocketAddr>,
    /// Datagrams of other clusters are dropped: one cluster for each tier.
    #[serde(default = "cluster")]
    pub cluster: String,
    /// This process's name among the members, the same after a restart; the advertised address if there is none.
    pub name: Option<String>,
    /// Members to ask first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Registries that list the tier's proxies, and nothing else.
    #[serde(default)]
    pub registries: Vec<SocketAddr>,
    /// The protocol's times.
    #[serde(default)]
    pub timing: Timing,
}

fn cluster() -> String {
    "heathroad".into()
}

impl Settings {
    /// What is wrong with them, if anything is.
    pub fn invalid(&self) -> Option<String> {
        let name = self.name.as_ref().map_or(1, String::len);
        if !(1..=MAX_NAME).contains(&name) {
            return Some(format!("name: from 1 to {MAX_NAME} bytes"));
        }
        if self.registries.len() > MAX_REGISTRIES {
            return Some(format!("registries: at most {MAX_REGISTRIES}"));
        }
        self.timing.invalid().map(|what| format!("timing.{what}"))
    }
}
