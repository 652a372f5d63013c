//! Queries of watches.

use load_balancer::catalog::{ServiceName, ServiceNameError};
use std::time::Duration;
use thiserror::Error;

/// The longest a watch waits (PROTOCOL, "Discovery").
pub const MAX_WAIT_MS: u64 = 60_000;
/// Longest name in a query.
const MAX_NAME: usize = 253;

/// Why a query can't be answered.
#[derive(Error, Debug, PartialEq)]
pub enum QueryError {
    /// No number where one is needed.
    #[error("{0}: {1:?} is not a whole number")]
    Number(String, String),
    /// A wait past the bound.
    #[error("wait_ms: at most {MAX_WAIT_MS}; ask again when it is over")]
    Wait,
    /// A name that nobody has.
    #[error("name: must be 1 to {MAX_NAME} printable bytes, as in the proxy's reports")]
    Name,
    /// No name of a service.
    #[error(transparent)]
    Service(#[from] ServiceNameError),
    /// A service where there is none.
    #[error("service: {0} is not per service yet, only the list at {LIST} is; leave it out")]
    NotPerService(String),
    /// A key that is not known.
    #[error("{key}: unknown; {what} takes {keys}")]
    Key {
        /// Which.
        key: String,
        /// Of which call.
        what: &'static str,
        /// What is known.
        keys: String,
    },
}

/// The path of the lists.
const LIST: &str = "/registry/instances";

/// The service that a query names, or that of no name.
pub fn service(text: &str) -> Result<ServiceName, QueryError> {
    let mut named = ServiceName::default();
    for (key, value) in form_urlencoded::parse(text.as_bytes()) {
        if key == "service" {
            named = ServiceName::new(&value)?;
        }
    }
    Ok(named)
}

/// Why a path can't be asked for with this query: it names a service, and the path knows none.
pub fn not_per_service(path: &str, text: &str) -> Option<QueryError> {
    let names = form_urlencoded::parse(text.as_bytes()).any(|(key, _)| key == "service");
    (names && path.starts_with("/registry/") && path != LIST)
        .then(|| QueryError::NotPerService(path.to_string()))
}

/// What a watch asks for.
#[derive(Debug, Default, PartialEq)]
pub struct Watch {
    /// The version that is held.
    pub after: Option<u64>,
    /// How long to wait for another.
    pub wait: Duration,
    /// Whose table.
    pub name: Option<String>,
}

/// Reads `after` and `wait_ms`, and of `name`, `generation` and `service` those in `more`; the last one by
/// [`service`].
pub fn watch(text: &str, what: &'static str, more: &[&str]) -> Result<Watch, QueryError> {
    let mut asked = Watch::default();
    for (key, value) in form_urlencoded::parse(text.as_bytes()) {
        let number =
            || value.parse::<u64>().map_err(|_| QueryError::Number(key.to_string(), value.to_string()));
        match &*key {
            "after" => asked.after = Some(number()?),
            "wait_ms" => {
                let wait = Some(number()?).filter(|ms| *ms <= MAX_WAIT_MS).ok_or(QueryError::Wait)?;
                asked.wait = Duration::from_millis(wait);
            }
            "name" if more.contains(&"name") => {
                if value.is_empty() || value.len() > MAX_NAME || value.chars().any(char::is_control) {
                    return Err(QueryError::Name);
                }
                asked.name = Some(value.to_string());
            }
            // Told so that it can be seen in a capture which process asks; the table goes by the name.
            "generation" if more.contains(&"generation") => drop(number()?),
            "service" if more.contains(&"service") => {}
            _ => {
                let keys = [&["after", "wait_ms"], more].concat().join(", ");
                return Err(QueryError::Key { key: key.to_string(), what, keys });
            }
        }
    }
    Ok(asked)
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/http/query.rs"]
mod tests;
