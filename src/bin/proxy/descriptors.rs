//! Allocates the process's file descriptors: connections to clients and backends get those that nothing else needs.
//!
//! Runs once, at the start, and raises the process's limit as far as the system allows.
//!
//! Failure: clients hold all descriptors, and the proxy can neither reach discovery nor answer operators. Some are
//! therefore reserved for both.

use crate::config::Error;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tracing::warn;

/// Number of descriptors reserved for standard streams, the listener, the reactor, the configuration file during a
/// reload, and discovery, to which three calls may be in flight while the connection of a fourth is being closed.
const RESERVED: usize = 16;
/// Maximum number of connections that are accepted beyond the limit, only to have their requests rejected at once.
const MAX_SPARE: usize = 32;

/// Numbers of descriptors for connections.
pub struct Descriptors {
    /// Number for clients beyond the limit, whose requests are rejected at once.
    pub spare: usize,
    /// Number for clients and backends, half each, as a request in progress holds a connection on either side.
    pub usable: usize,
}

impl Descriptors {
    /// Allocates the configured number of descriptors, or as many as the system allows; `optional_parts` of them are
    /// reserved for the optional parts that are configured.
    pub fn allocate(configured: usize, optional_parts: usize) -> Result<Self, Error> {
        let reserved = RESERVED + optional_parts;
        let allowed = raise_limit(configured);
        let mut spare = MAX_SPARE;
        if allowed < configured {
            warn!(
                "limits.sockets is {configured}, but the system allows {allowed}; raise its limit (ulimit -n)"
            );
            spare = MAX_SPARE.min(allowed.saturating_sub(reserved) / 2);
        }
        let usable = allowed.checked_sub(reserved + spare).filter(|n| *n > 1);
        let least = reserved + MAX_SPARE + 2;
        let usable =
            usable.ok_or_else(|| Error::Value(format!("limits.sockets: too few, from {least} on")))?;
        Ok(Descriptors { spare, usable })
    }
}

/// Raises the soft limit to `wanted`, or to the hard limit if that is lower, and returns how many of the wanted
/// descriptors the process may hold.
fn raise_limit(wanted: usize) -> usize {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let wanted = wanted as u64;
    let raised = wanted.min(maximum.unwrap_or(wanted));
    let Some(unraised) = current.filter(|current| *current < raised) else { return raised as usize };
    let limit = Rlimit { current: Some(raised), maximum };
    if setrlimit(Resource::Nofile, limit).is_ok() { raised as usize } else { unraised as usize }
}
