//! Entries of a list, and their validation before they are stored.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// One backend, in the form that discovery answers (PROTOCOL, "Discovery") and that the log and the snapshot store.
#[derive(Serialize, Deserialize, Clone, PartialEq, Debug)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Host name of the backend, unique in its service.
    pub host: String,
    /// Address to connect to; may be missing in a deleted entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dial: Option<SocketAddr>,
    /// Zone in which the backend runs.
    #[serde(default)]
    pub site: String,
    /// Class of the backend's machine.
    #[serde(default)]
    pub class: String,
    /// Number of the cell to which the backend belongs.
    #[serde(default)]
    pub block: u16,
    /// State of the backend: serving, draining or deleted.
    pub health: Health,
    /// Capacity of the backend relative to the others.
    #[serde(default = "default_share")]
    pub share: f64,
    /// Unix time of the backend's last start, in milliseconds; 0 if that was long ago.
    #[serde(default)]
    pub born_ms: f64,
}

fn default_share() -> f64 {
    1.0
}

/// The state of a backend, which determines if it accepts new requests.
#[derive(Serialize, Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// The backend accepts requests.
    Serving,
    /// The backend finishes its requests in flight and accepts no new ones.
    Draining,
    /// The backend was removed. Occurs in changes and tombstones, never in a full list.
    Deleted,
}

/// Maximum length of `host`, `site` and `class`, in bytes: the limit of a DNS name.
const MAX_NAME_BYTES: usize = 253;

/// Error for an entry that can't be stored. The messages are answered to the caller.
#[derive(Error, Debug, PartialEq)]
pub enum EntryError {
    /// The host name is empty, too long or has control characters.
    #[error("host: must be 1 to {MAX_NAME_BYTES} printable characters; give the backend its DNS name")]
    Host,
    /// The address is missing. The field is the host name.
    #[error("{0}: dial: is missing; give its address, or DELETED as its health")]
    MissingAddress(String),
    /// A number is negative or not finite. The fields are the host name and the key.
    #[error("{0}: {1}: must be a finite number of 0 or more")]
    Number(String, &'static str),
    /// The zone or the class is too long. The field is the host name.
    #[error("{0}: site and class: at most {MAX_NAME_BYTES} bytes")]
    Zone(String),
}

impl Entry {
    /// Checks that the entry can be stored.
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
