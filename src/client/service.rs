//! The service that a proxy's backends belong to, as registries know it.

use std::fmt;
use std::str::FromStr;

/// Longest name.
const MAX_NAME: usize = 63;

/// A service's name: 1 to 63 of `a-z`, `0-9`, `.` and `-`. It stands in paths as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceName(String);

/// Why a text is no service's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("give 1 to {MAX_NAME} of a-z, 0-9, '.' and '-'")]
pub struct InvalidServiceName;

impl FromStr for ServiceName {
    type Err = InvalidServiceName;

    fn from_str(text: &str) -> Result<Self, InvalidServiceName> {
        let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b".-".contains(&byte);
        match (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(allowed) {
            true => Ok(ServiceName(text.to_string())),
            false => Err(InvalidServiceName),
        }
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client/service.rs"]
mod tests;
