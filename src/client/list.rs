//! Endpoint list in the form in which a registry sends it.
//!
//! A [`ListPage`] is a full list or an update to one. Its entries are parsed one by one, so that an invalid entry does
//! not affect the others. The serde names are those of the protocol.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use tracing::warn;

/// Full endpoint list, or an update to one, as a registry sends it.
#[derive(Deserialize)]
pub struct ListPage {
    /// Version of the list once this page is applied.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the page is a full list; otherwise it is an update.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Entries as JSON text that is not parsed yet.
    ///
    /// If they were parsed with the page, one invalid entry or one number out of range would fail the whole page.
    /// [`ListPage::into_entries`] parses each entry separately.
    #[serde(rename = "hosts")]
    pub entries: Vec<Box<RawValue>>,
}

/// Result of parsing the entries of a page.
pub struct ParsedEntries {
    /// Entries that were parsed.
    pub entries: Vec<EndpointEntry>,
    /// Number of entries that could not be parsed; [`ListPage::into_entries`] logs them.
    pub unreadable: usize,
}

/// Entry of an endpoint list: one backend.
#[derive(Deserialize)]
pub struct EndpointEntry {
    /// Name of the backend.
    #[serde(rename = "host")]
    pub name: String,
    /// Address of the backend; absent only if it is draining or deleted.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// Zone of the backend; by default empty.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Machine class of the backend; by default empty.
    #[serde(default)]
    pub class: String,
    /// Cell of the backend; by default 0.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Whether the backend accepts new calls.
    pub health: Health,
    /// Weight of the backend relative to the others; by default 0.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// Start of the backend, Unix time in milliseconds; by default 0, for an unknown start long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: f64,
}

/// Whether a backend accepts new calls.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// The backend accepts new calls.
    Serving,
    /// The backend accepts no new calls and finishes those in flight.
    Draining,
    /// The backend was removed.
    Deleted,
}

/// Name and health of an entry, parsed alone where the complete entry cannot be parsed.
#[derive(Deserialize)]
struct HealthEntry {
    #[serde(rename = "host")]
    name: String,
    health: Health,
}

/// Most characters of an invalid entry that are logged.
const MAX_LOGGED_ENTRY: usize = 200;

impl ListPage {
    /// Parses the entries. Logs the number of those that cannot be parsed in one line, with the last one as an example.
    pub fn into_entries(self) -> ParsedEntries {
        let mut entries = Vec::new();
        let mut unreadable = 0;
        let mut example = String::new();
        for text in self.entries.iter().map(|raw| raw.get()) {
            match parse_entry(text) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    unreadable += 1;
                    let beginning: String = text.chars().take(MAX_LOGGED_ENTRY).collect();
                    example = format!("{beginning}: {error}");
                }
            }
        }
        if unreadable > 0 {
            warn!("discovery: skipped {unreadable} list entries that cannot be parsed, such as {example}");
        }
        ParsedEntries { entries, unreadable }
    }
}

/// Parses one entry.
///
/// For a draining or deleted backend a valid name and health suffice: otherwise an invalid value in another field would
/// keep the backend in service.
fn parse_entry(text: &str) -> Result<EndpointEntry, String> {
    let parsed = serde_json::from_str::<EndpointEntry>(text).map_err(|error| error.to_string());
    let error = match parsed {
        Ok(entry) if entry.is_usable() => return Ok(entry),
        Ok(_) => "no address".to_string(),
        Err(error) => error,
    };
    match serde_json::from_str::<HealthEntry>(text) {
        Ok(ended) if ended.health != Health::Serving => Ok(ended.into()),
        _ => Err(error),
    }
}

impl EndpointEntry {
    fn is_usable(&self) -> bool {
        self.health != Health::Serving || self.address.is_some()
    }
}

impl From<HealthEntry> for EndpointEntry {
    fn from(ended: HealthEntry) -> Self {
        EndpointEntry {
            name: ended.name,
            health: ended.health,
            address: None,
            zone: String::new(),
            class: String::new(),
            cell: 0,
            weight: 0.0,
            started_ms: 0.0,
        }
    }
}
