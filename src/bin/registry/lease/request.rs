//! Lease requests as callers send them, and their checks.

use serde::Deserialize;
use thiserror::Error;

/// Longest name of a duty or a holder, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 253;
/// Shortest TTL of a lease, in milliseconds.
const MIN_TTL_MS: u64 = 100;
/// Longest TTL of a lease, in milliseconds: with a longer one a dead holder would keep its duty for too long.
const MAX_TTL_MS: u64 = 3_600_000;

/// A request to acquire, renew or release a duty, as callers send it.
///
/// Without a token it acquires; with a token and a TTL it renews; with a token and without a TTL it releases.
#[derive(Deserialize, Clone, Debug)]
// "Ask" is kept: it stands in error texts answered to callers ("expected struct Ask").
#[serde(rename = "Ask", deny_unknown_fields)]
pub(crate) struct LeaseRequest {
    /// The duty.
    pub(crate) duty: String,
    /// The name of the calling process.
    pub(crate) holder: String,
    /// The token of the caller's lease, if it holds the duty.
    pub(crate) token: Option<u64>,
    /// The TTL that the caller wants, in milliseconds; none to release.
    pub(crate) ttl_ms: Option<u64>,
}

/// Why a lease request is malformed. The texts are answered to the caller.
#[derive(Error, Debug, PartialEq)]
pub(crate) enum LeaseRequestError {
    /// A name that is empty, too long or has control characters, which could not be read in a log.
    #[error("{0}: must be 1 to {MAX_NAME_BYTES} printable characters")]
    Name(&'static str),
    /// A TTL out of range.
    #[error("ttl_ms: from {MIN_TTL_MS} to {MAX_TTL_MS}")]
    Ttl,
    /// Neither a TTL, to acquire, nor a token, to release.
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
