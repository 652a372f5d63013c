//! The queries of calls, and their checks.

use load_balancer::catalog::{ServiceName, ServiceNameError};
use std::time::Duration;
use thiserror::Error;

/// Longest wait of a watch, in milliseconds (PROTOCOL, "Discovery").
const MAX_WAIT_MS: u64 = 60_000;
/// Longest name of a proxy, in bytes.
const MAX_NAME_BYTES: usize = 253;

/// Why a query is rejected. The texts are answered to the caller.
#[derive(Error, Debug, PartialEq)]
pub(super) enum QueryError {
    /// A value is not a number. Fields: the key, the value.
    #[error("{0}: {1:?} is not a whole number")]
    Number(String, String),
    /// The wait is too long.
    #[error("wait_ms: at most {MAX_WAIT_MS}; ask again when it is over")]
    Wait,
    /// The name is empty, too long or has control characters.
    #[error("name: must be 1 to {MAX_NAME_BYTES} printable bytes, as in the proxy's reports")]
    Name,
    /// The value of `service` is no name of a service.
    #[error(transparent)]
    Service(#[from] ServiceNameError),
    /// A service is named for a path that has none. Field: the path.
    #[error("service: {0} is not per service yet, only the list at {LIST} is; leave it out")]
    NotPerService(String),
    /// The call does not take this key.
    #[error("{key}: unknown; {what} takes {keys}")]
    Key {
        /// The key.
        key: String,
        /// What the call reads.
        what: &'static str,
        /// The keys that the call takes.
        keys: String,
    },
}

/// The path of the lists, the only one that takes a service.
const LIST: &str = "/registry/instances";

/// The service that a query names; the unnamed one if it names none.
pub(super) fn service(text: &str) -> Result<ServiceName, QueryError> {
    let mut service = ServiceName::default();
    for (key, value) in form_urlencoded::parse(text.as_bytes()) {
        if key == "service" {
            service = ServiceName::new(&value)?;
        }
    }
    Ok(service)
}

/// Rejects a query that names a service for a path that has none. Without this check the call would be answered as if
/// it were for that service alone.
pub(super) fn check_not_per_service(path: &str, text: &str) -> Result<(), QueryError> {
    let names_service = form_urlencoded::parse(text.as_bytes()).any(|(key, _)| key == "service");
    if names_service && path.starts_with("/registry/") && path != LIST {
        return Err(QueryError::NotPerService(path.to_string()));
    }
    Ok(())
}

/// The query of a read that may wait for a change.
#[derive(Debug, Default, PartialEq)]
pub(super) struct WatchQuery {
    /// The version that the caller has; it waits for a newer one.
    pub(super) after: Option<u64>,
    /// How long to wait.
    pub(super) wait: Duration,
    /// The proxy whose table is read.
    pub(super) name: Option<String>,
}

/// Reads `after` and `wait_ms`, and of `name`, `generation` and `service` those in `more_keys`. The value of `service` is
/// read by [`service`]. `what` names what the call reads, for errors.
pub(super) fn watch(text: &str, what: &'static str, more_keys: &[&str]) -> Result<WatchQuery, QueryError> {
    let mut query = WatchQuery::default();
    for (key, value) in form_urlencoded::parse(text.as_bytes()) {
        let number =
            || value.parse::<u64>().map_err(|_| QueryError::Number(key.to_string(), value.to_string()));
        match &*key {
            "after" => query.after = Some(number()?),
            "wait_ms" => {
                let wait_ms = number()?;
                if wait_ms > MAX_WAIT_MS {
                    return Err(QueryError::Wait);
                }
                query.wait = Duration::from_millis(wait_ms);
            }
            "name" if more_keys.contains(&"name") => {
                if value.is_empty() || value.len() > MAX_NAME_BYTES || value.chars().any(char::is_control) {
                    return Err(QueryError::Name);
                }
                query.name = Some(value.to_string());
            }
            // Only checked: it tells a reader of captured traffic which process calls. The table depends on the name.
            "generation" if more_keys.contains(&"generation") => drop(number()?),
            "service" if more_keys.contains(&"service") => {}
            _ => {
                let keys = [&["after", "wait_ms"], more_keys].concat().join(", ");
                return Err(QueryError::Key { key: key.to_string(), what, keys });
            }
        }
    }
    Ok(query)
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/http/query.rs"]
mod tests;
