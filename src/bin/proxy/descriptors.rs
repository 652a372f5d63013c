//! Shares out the process's descriptors: clients and backends get what the rest does not need.
//!
//! Acts once, at the start, and raises the process's limit where the system allows. Guards against a
//! proxy that cannot reach discovery, or answer its operators, because clients hold every descriptor.

use crate::config::Error;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tracing::warn;

/// Descriptors that are neither clients' nor backends' connections: standard streams, the listener, the reactor, a file
/// that is read again, and discovery, of which two calls may be in flight while the connection of a third is being closed.
const RESERVED: usize = 16;
/// Most connections that are accepted only to have their requests rejected at once.
const MAX_SPARE: usize = 32;

/// Descriptors for connections.
pub struct Descriptors {
    /// For clients beyond the limit, whose requests are rejected at once.
    pub spare: usize,
    /// For clients and backends, half each: a request that is being served holds a connection on either side.
    pub usable: usize,
}

impl Descriptors {
    /// Shares out so many, or as many as the system allows; `optional_parts` are reserved for what is configured besides.
    pub fn share_out(configured: usize, optional_parts: usize) -> Result<Self, Error> {
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

/// Raises the soft limit up to the hard one, where so many are wanted; how many the process then has.
fn raise_limit(wanted: usize) -> usize {
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let wanted = wanted as u64;
    let raised = wanted.min(maximum.unwrap_or(wanted));
    let Some(unraised) = current.filter(|current| *current < raised) else { return raised as usize };
    let limit = Rlimit { current: Some(raised), maximum };
    if setrlimit(Resource::Nofile, limit).is_ok() { raised as usize } else { unraised as usize }
}
