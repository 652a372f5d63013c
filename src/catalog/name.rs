//! Names of services.

use serde::{Deserialize, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Longest name of a service, as of a DNS label.
const MAX_NAME: usize = 63;

/// The name of a service; the default is the service of no name, which everything without a service belongs to.
#[derive(Deserialize, Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[serde(try_from = "String")]
pub struct ServiceName(Arc<str>);

/// Why a text is no name of a service.
#[derive(Error, Clone, Debug, PartialEq, Eq)]
#[error(
    "service: {0:?} must be 1 to {MAX_NAME} of a-z, 0-9, '.' and '-'; leave it out for the service of no name"
)]
pub struct ServiceNameError(String);

impl ServiceName {
    /// The name, if the text is one.
    pub fn new(text: &str) -> Result<ServiceName, ServiceNameError> {
        let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'-');
        if text.is_empty() || text.len() > MAX_NAME || !text.bytes().all(allowed) {
            // The start of it is enough to find it by.
            return Err(ServiceNameError(text.chars().take(MAX_NAME + 1).collect()));
        }
        Ok(ServiceName(text.into()))
    }

    /// Whether this is the service of no name.
    pub fn is_unnamed(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for ServiceName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
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
