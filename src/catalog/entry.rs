//! Entries of a list, and their checks before they are stored.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// One backend, as discovery lists it (PROTOCOL, "Discovery"), and as the log and the snapshot hold it.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The backend's name, unique in its service.
    pub host: String,
    /// The address to connect to; a deleted entry may have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dial: Option<SocketAddr>,
    /// The zone it runs in.
    #[serde(default)]
    pub site: String,
    /// The class of its machine.
    #[serde(default)]
    pub class: String,
    /// The cell it belongs to.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its capacity relative to the other backends'.
    #[serde(default = "default_share")]
    pub share: f64,
    /// The time of its last start, Unix time in milliseconds; 0 when long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn default_share() -> f64 {
    1.0
}

/// Whether a backend takes new work.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// Takes work.
    Serving,
    /// Finishes what it has and wants nothing new.
    Draining,
    /// Removed; only among changes and tombstones, never in a full list.
    Deleted,
}

/// Longest host, site and class, in bytes: the limit of a DNS name.
const MAX_NAME_BYTES: usize = 253;

/// Why an entry can't be stored. The texts are answered to the caller.
#[derive(Error, Debug, PartialEq)]
pub enum EntryError {
    /// The host is empty, too long or has control characters.
    #[error("host: must be 1 to {MAX_NAME_BYTES} printable characters; give the backend its DNS name")]
    Host,
    /// The address is missing. Field: the host.
    #[error("{0}: dial: is missing; give its address, or DELETED as its health")]
    MissingAddress(String),
    /// A number is negative or not finite. Fields: the host, the key.
    #[error("{0}: {1}: must be a finite number of 0 or more")]
    Number(String, &'static str),
    /// The zone or class is too long. Field: the host.
    #[error("{0}: site and class: at most {MAX_NAME_BYTES} bytes")]
    Zone(String),
}

impl Entry {
    /// Whether the entry can be stored.
    pub fn check(&self) -> Result<(), EntryError> {
        let host = &self.host;
        if host.is_empty() || host.len() > MAX_NAME_BYTES || host.chars().any(|c| c.is_control()) {
            return Err(EntryError::Host);
        }
        if self.health != Health::Deleted && self.dial.is_none() {
            return Err(EntryError::MissingAddress(host.clone()));
        }
        for (key, number) in [("share", self.share), ("born_ms", self.born_ms)] {
            if !number.is_finite() || number < 0.0 {
                return Err(EntryError::Number(host.clone(), key));
            }
        }
        if self.site.len() > MAX_NAME_BYTES || self.class.len() > MAX_NAME_BYTES {
            return Err(EntryError::Zone(host.clone()));
        }
        Ok(())
    }
}
