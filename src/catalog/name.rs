//! Names of services, and their validation.

use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Maximum length of a service name, in bytes: the limit of a DNS label.
const MAX_NAME_BYTES: usize = 63;

/// The name of a service. The default is the empty name of the unnamed service, to which every request and record that
/// names no service refers.
#[derive(Deserialize, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(try_from = "String")]
pub struct ServiceName(Arc<str>);

/// Error for a text that is not a valid service name; the field is the text, truncated. The message is answered to the
/// caller.
#[derive(Error, Clone, Debug, PartialEq, Eq)]
#[error(
    "service: {0:?} must be 1 to {MAX_NAME_BYTES} of a-z, 0-9, '.' and '-'; leave it out for the service of no name"
)]
pub struct ServiceNameError(String);

impl ServiceName {
    /// Creates a name from a text of 1 to 63 characters of `a-z`, `0-9`, `.` and `-`.
    pub fn new(text: &str) -> Result<ServiceName, ServiceNameError> {
        let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
            // The text is truncated to bound the size of the error, whatever the caller sent.
            return Err(ServiceNameError(text.chars().take(MAX_NAME_BYTES + 1).collect()));
        }
        Ok(ServiceName(text.into()))
    }

    /// Returns true for the empty name of the unnamed service.
    pub fn is_unnamed(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for ServiceName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl FromStr for ServiceName {
    type Err = ServiceNameError;

    fn from_str(text: &str) -> Result<ServiceName, ServiceNameError> {
        ServiceName::new(text)
    }
}

impl TryFrom<String> for ServiceName {
    type Error = ServiceNameError;

    fn try_from(text: String) -> Result<ServiceName, ServiceNameError> {
        ServiceName::new(&text)
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
