//! The list of backends as discovery gives it.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use tracing::warn;

/// A list, or changes to one.
#[derive(Deserialize)]
pub struct Page {
    /// Its version.
    pub seq: u64,
    /// Whether it is a whole list, not changes to one.
    pub whole: bool,
    /// Its entries, not looked at yet: one that cannot be read, or a number that no machine holds, spoils no other.
    pub hosts: Vec<Box<RawValue>>,
}

/// An entry of a list.
#[derive(Deserialize)]
pub struct Host {
    /// The backend's name.
    pub host: String,
    /// Its address; one that takes nothing new needs none.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its class of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size beside the others'.
    #[serde(default)]
    pub share: f64,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

/// Whether a backend takes new work.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// Takes work.
    Serving,
    /// Finishes its work.
    Draining,
    /// Gone.
    Deleted,
}

/// What is read of an entry that cannot be read whole: enough to know that a backend takes nothing new.
#[derive(Deserialize)]
struct Ending {
    host: String,
    health: Health,
}

/// So much of an entry that cannot be read is logged.
const MAX_EXAMPLE: usize = 200;

impl Page {
    /// Its entries, and how many of them can't be read: those are logged in one line and passed over. That a backend
    /// drains or is gone is heard whatever else its entry says.
    pub fn entries(self) -> (Vec<Host>, usize) {
        let (mut good, mut bad, mut example) = (Vec::new(), 0, String::new());
        for text in self.hosts.iter().map(|raw| raw.get()) {
            let read = serde_json::from_str::<Host>(text).map_err(|e| e.to_string());
            match read.and_then(|h| if h.usable() { Ok(h) } else { Err("no address".into()) }) {
                Ok(host) => good.push(host),
                Err(e) => match serde_json::from_str::<Ending>(text) {
                    Ok(ending) if ending.health != Health::Serving => good.push(ending.into()),
                    _ => {
                        let begins: String = text.chars().take(MAX_EXAMPLE).collect();
                        (bad, example) = (bad + 1, format!("{begins}: {e}"));
                    }
                },
            }
        }
        if bad > 0 {
            warn!("discovery: {bad} entries passed over, such as {example}");
        }
        (good, bad)
    }
}

impl Host {
    fn usable(&self) -> bool {
        self.health != Health::Serving || self.dial.is_some()
    }
}

impl From<Ending> for Host {
    fn from(Ending { host, health }: Ending) -> Self {
        let (site, class) = (String::new(), String::new());
        Host { host, health, dial: None, site, class, block: 0, share: 0.0, born_ms: 0.0 }
    }
}
