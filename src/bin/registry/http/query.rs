//! Parses and validates the query strings of calls.

use load_balancer::catalog::{ServiceName, ServiceNameError};
use std::time::Duration;
use thiserror::Error;

/// Maximum wait of a watch, in milliseconds (PROTOCOL, "Discovery").
const MAX_WAIT_MS: u64 = 60_000;
/// Maximum length of a proxy's name, in bytes.
const MAX_NAME_BYTES: usize = 253;

/// Error for a query that is rejected. The messages are answered to the caller.
#[derive(Error, Debug, PartialEq)]
pub(super) enum QueryError {
    /// A value is not a number. The fields are the key and the value.
    #[error("{0}: {1:?} is not a whole number")]
    Number(String, String),
    /// The wait exceeds [`MAX_WAIT_MS`].
    #[error("wait_ms: at most {MAX_WAIT_MS}; ask again when it is over")]
    Wait,
    /// The proxy's name is empty, too long or has control characters.
    #[error("name: must be 1 to {MAX_NAME_BYTES} printable bytes, as in the proxy's reports")]
    Name,
    /// The value of `service` is not a valid service name.
    #[error(transparent)]
    Service(#[from] ServiceNameError),
    /// The query names a service for a path that is not per service. The field is the path.
    #[error("service: {0} is not per service yet, only the list at {LIST} is; leave it out")]
    NotPerService(String),
    /// The call does not accept this key.
    #[error("{key}: unknown; {resource} takes {keys}")]
    Key {
        /// Unknown key.
        key: String,
        /// Resource that the call reads.
        resource: &'static str,
        /// Comma-separated list of the keys that the call accepts.
        keys: String,
    },
}

/// Path of the lists, the only one that accepts a service.
const LIST: &str = "/registry/instances";

/// Returns the service that a query names, or the unnamed service if it names none.
pub(super) fn parse_service(text: &str) -> Result<ServiceName, QueryError> {
    let mut service = ServiceName::default();
    for (key, value) in form_urlencoded::parse(text.as_bytes()) {
        if key == "service" {
            service = ServiceName::new(&value)?;
        }
    }
    Ok(service)
}

/// Rejects a query that names a service for a path that is not per service. Without this check the caller would take
/// the answer for that of the named service alone.
pub(super) fn check_not_per_service(path: &str, text: &str) -> Result<(), QueryError> {
    let names_service = form_urlencoded::parse(text.as_bytes()).any(|(key, _)| key == "service");
    if names_service && path.starts_with("/registry/") && path != LIST {
        return Err(QueryError::NotPerService(path.to_string()));
    }
    Ok(())
}

/// The parsed query of a read that may wait for a change.
#[derive(Debug, Default, PartialEq)]
pub(super) struct WatchQuery {
    /// Version that the caller has; the call waits for a newer one.
    pub(super) after: Option<u64>,
    /// Maximum time to wait.
    pub(super) wait: Duration,
    /// Name of the proxy whose table is read.
    pub(super) name: Option<String>,
}

/// Parses `after` and `wait_ms`, and those of `name`, `generation` and `service` that are in `more_keys`. The value of
/// `service` is ignored here; see [`parse_service`]. `resource` names the resource that the call reads, for errors.
pub(super) fn watch(
    text: &str,
    resource: &'static str,
    more_keys: &[&str],
) -> Result<WatchQuery, QueryError> {
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
            // Validated but not used: it identifies the calling process in captured traffic. The table depends on the
            // name.
            "generation" if more_keys.contains(&"generation") => drop(number()?),
            "service" if more_keys.contains(&"service") => {}
            _ => {
                let keys = [&["after", "wait_ms"], more_keys].concat().join(", ");
                return Err(QueryError::Key { key: key.to_string(), resource, keys });
            }
        }
    }
    Ok(query)
}

#[cfg(test)]
#[path = "../../../../tests/unit/registry/http/query.rs"]
mod tests;
