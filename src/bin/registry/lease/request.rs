//! Lease requests of callers, and their validation.

use serde::Deserialize;
use thiserror::Error;

/// Maximum length of the name of a duty or a holder, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 253;
/// Minimum TTL of a lease, in milliseconds.
const MIN_TTL_MS: u64 = 100;
/// Maximum TTL of a lease, in milliseconds. With a longer one, the duty of a dead holder would stay blocked for too
/// long.
const MAX_TTL_MS: u64 = 3_600_000;

/// The body of a request to acquire, renew or release a duty.
///
/// A request without a token acquires, one with a token and a TTL renews, and one with a token and without a TTL
/// releases.
#[derive(Deserialize, Clone, Debug)]
// The name "Ask" is kept because it appears in errors answered to callers ("expected struct Ask").
#[serde(rename = "Ask", deny_unknown_fields)]
pub(crate) struct LeaseRequest {
    /// Name of the duty.
    pub(crate) duty: String,
    /// Name of the calling process.
    pub(crate) holder: String,
    /// Fencing token of the caller's lease; `None` to acquire the duty.
    pub(crate) token: Option<u64>,
    /// Requested TTL, in milliseconds; `None` to release the duty.
    pub(crate) ttl_ms: Option<u64>,
}

/// Error for a malformed lease request. The messages are answered to the caller.
#[derive(Error, Debug, PartialEq)]
pub(crate) enum LeaseRequestError {
    /// A name is empty, too long or has control characters, which would make log lines unreadable. The field is the
    /// key.
    #[error("{0}: must be 1 to {MAX_NAME_BYTES} printable characters")]
    Name(&'static str),
    /// The TTL is out of range.
    #[error("ttl_ms: from {MIN_TTL_MS} to {MAX_TTL_MS}")]
    Ttl,
    /// The request has neither a TTL, to acquire, nor a token, to release.
    #[error("ttl_ms: is missing; a lease needs one, a release a token")]
    MissingTtl,
}

impl LeaseRequest {
    /// Checks the names and the TTL.
    pub(crate) fn check(&self) -> Result<(), LeaseRequestError> {
        for (field, name) in [("duty", &self.duty), ("holder", &self.holder)] {
            if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
                return Err(LeaseRequestError::Name(field));
            }
        }
        match self.ttl_ms {
            Some(ttl_ms) if !(MIN_TTL_MS..=MAX_TTL_MS).contains(&ttl_ms) => Err(LeaseRequestError::Ttl),
            None if self.token.is_none() => Err(LeaseRequestError::MissingTtl),
            _ => Ok(()),
        }
    }
}
