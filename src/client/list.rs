//! The endpoint list in the form in which a registry sends it.
//!
//! A [`ListPage`] is a full list or an update to one. Its entries are parsed one by one, so that an entry that does
//! not parse costs no other. The serde names are the protocol's.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use tracing::warn;

/// A full endpoint list, or an update to one.
#[derive(Deserialize)]
pub struct ListPage {
    /// The list's version once this page is applied.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether it is the full list; an update otherwise.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Its entries as JSON text, not parsed yet.
    ///
    /// Failure: one entry that does not parse, or a number that no type holds, would fail the parse of the full list.
    /// As raw text it is found by [`ListPage::into_entries`] and fails alone.
    #[serde(rename = "hosts")]
    pub entries: Vec<Box<RawValue>>,
}

/// A list's entries once parsed.
pub struct ParsedEntries {
    /// Those that parse.
    pub entries: Vec<EndpointEntry>,
    /// How many do not; they were logged.
    pub unreadable: usize,
}

/// A backend in an endpoint list.
#[derive(Deserialize)]
pub struct EndpointEntry {
    /// The backend's name.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address; only one that is draining or deleted may have none.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// Its zone; by default empty.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its machine class; by default empty.
    #[serde(default)]
    pub class: String,
    /// Its cell; by default 0.
    #[serde(rename = "block", default)]
    pub cell: u16,
    /// Whether it accepts new calls.
    pub health: Health,
    /// Its size relative to the others; by default 0.
    #[serde(rename = "share", default)]
    pub weight: f64,
    /// When it started, Unix time in milliseconds; by default 0, for long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: f64,
}

/// Whether a backend accepts new calls.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// It accepts calls.
    Serving,
    /// It finishes the calls that it has.
    Draining,
    /// It is gone.
    Deleted,
}

/// The part of an entry that tells that a backend accepts no new calls; parsed where the entry as such does not parse.
#[derive(Deserialize)]
struct EndedEntry {
    #[serde(rename = "host")]
    name: String,
    health: Health,
}

/// Characters of an unreadable entry that are logged.
const MAX_LOGGED_ENTRY: usize = 200;

impl ListPage {
    /// Parses the entries. Those that do not parse are counted, and one line logs them with one as an example.
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
            warn!("discovery: {unreadable} entries passed over, such as {example}");
        }
        ParsedEntries { entries, unreadable }
    }
}

/// Parses an entry.
///
/// Failure: a backend that drains or is gone would go on receiving calls because another field of its entry does not
/// parse. Its name and health are enough to end them.
fn parse_entry(text: &str) -> Result<EndpointEntry, String> {
    let parsed = serde_json::from_str::<EndpointEntry>(text).map_err(|error| error.to_string());
    let error = match parsed {
        Ok(entry) if entry.is_usable() => return Ok(entry),
        Ok(_) => "no address".to_string(),
        Err(error) => error,
    };
    match serde_json::from_str::<EndedEntry>(text) {
        Ok(ended) if ended.health != Health::Serving => Ok(ended.into()),
        _ => Err(error),
    }
}

impl EndpointEntry {
    fn is_usable(&self) -> bool {
        self.health != Health::Serving || self.address.is_some()
    }
}

impl From<EndedEntry> for EndpointEntry {
    fn from(ended: EndedEntry) -> Self {
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
