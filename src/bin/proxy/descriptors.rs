//! What the process's descriptors are for: however many callers come, those that the rest needs stay aside for it.

use crate::config::Error;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tracing::warn;

/// Descriptors that are neither callers' nor backends' connections: standard streams, the listener, the reactor, a file
/// that is read anew, and discovery, of which two calls may be out while one that is left is still being closed.
const RESERVED: usize = 16;
/// Most connections that are taken only to be refused at once.
const SPARE: usize = 32;

/// Descriptors for connections.
pub struct Descriptors {
    /// For callers past the limit, who are refused at once.
    pub spare: usize,
    /// For callers and backends: each request in work holds a connection on either side; kept ones fill what is left.
    pub usable: usize,
}

impl Descriptors {
    /// Shares out so many, or as many as the system allows; `kept` are aside for what is configured beside the proxy.
    pub fn share_out(configured: usize, kept: usize) -> Result<Self, Error> {
        let (aside, allowed) = (RESERVED + kept, allowed(configured));
        let mut spare = SPARE;
        if allowed < configured {
            warn!(
                "limits.sockets is {configured}, but the system allows {allowed}; raise its limit (ulimit -n)"
            );
            spare = SPARE.min(allowed.saturating_sub(aside) / 2);
        }
        let usable = allowed.checked_sub(aside + spare).filter(|n| *n > 1);
        let least = aside + SPARE + 2;
        let usable =
            usable.ok_or_else(|| Error::Value(format!("limits.sockets: too few, from {least} on")))?;
        Ok(Descriptors { spare, usable })
    }
}

/// As many as are wanted, or as the system allows: what it allows by default is raised up to its limit.
fn allowed(wanted: usize) -> usize {
    let (Rlimit { current, maximum }, most) = (getrlimit(Resource::Nofile), wanted as u64);
    let raised = most.min(maximum.unwrap_or(most));
    let Some(low) = current.filter(|current| *current < raised) else { return raised as usize };
    let limit = Rlimit { current: Some(raised), maximum };
    if setrlimit(Resource::Nofile, limit).is_ok() { raised as usize } else { low as usize }
}
