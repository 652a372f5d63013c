//! Entries of the list and their checks.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// One backend, as discovery lists it (PROTOCOL, "Discovery").
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The backend's name, the same at every proxy.
    pub host: String,
    /// Where it is reached; a deleted entry may have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size beside the others'.
    #[serde(default = "one")]
    pub share: f64,
    /// Its last start, Unix time in milliseconds; 0 when long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
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
    /// Gone: among changes only.
    Deleted,
}

/// Longest host name, as for a DNS name.
const MAX_HOST: usize = 253;

/// Why an entry can't be stored.
#[derive(Error, Debug, PartialEq)]
pub enum EntryError {
    /// A name that nobody could read in a log.
    #[error("host: must be 1 to {MAX_HOST} printable characters; give the backend its DNS name")]
    Host,
    /// No address.
    #[error("{0}: dial: is missing; give its address, or DELETED as its health")]
    Dial(String),
    /// A figure that weighs nothing.
    #[error("{0}: {1}: must be a finite number of 0 or more")]
    Figure(String, &'static str),
    /// A zone or class that is no name.
    #[error("{0}: site and class: at most {MAX_HOST} bytes")]
    Place(String),
}

impl Entry {
    /// Whether the entry can be stored.
    pub fn check(&self) -> Result<(), EntryError> {
        let host = &self.host;
        if host.is_empty() || host.len() > MAX_HOST || host.chars().any(|c| c.is_control()) {
            return Err(EntryError::Host);
        }
        if self.health != Health::Deleted && self.dial.is_none() {
            return Err(EntryError::Dial(host.clone()));
        }
        for (name, figure) in [("share", self.share), ("born_ms", self.born_ms)] {
            if !figure.is_finite() || figure < 0.0 {
                return Err(EntryError::Figure(host.clone(), name));
            }
        }
        if self.site.len() > MAX_HOST || self.class.len() > MAX_HOST {
            return Err(EntryError::Place(host.clone()));
        }
        Ok(())
    }
}
