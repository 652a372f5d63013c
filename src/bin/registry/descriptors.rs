//! Raises the process's limit on file descriptors as far as the configured connections need.
//!
//! Failure: connections take every descriptor, and the log or a snapshot can't be opened or synced. How it shows:
//! writes are answered 503 until clients close their connections. Why the guard holds: the number of connections is
//! limited to what the system's limit leaves after the descriptors that the rest of the process needs.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tracing::warn;

/// Number of descriptors for other uses than connections: standard streams, the listener, the event loop, the log, a
/// snapshot and a recorded segment while they are written, the directory while it is synced, and a connection that is
/// closed as soon as it is accepted.
const RESERVED_DESCRIPTORS: usize = 32;

/// Raises the process's limit for this number of connections. Returns the number that the limit allows, at most
/// `connections`.
pub(crate) fn raise_limit_for(connections: usize) -> usize {
    let needed = connections.saturating_add(RESERVED_DESCRIPTORS) as u64;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let target = needed.min(maximum.unwrap_or(needed));
    let is_enough = current.is_none_or(|current| current >= target);
    let raised = Rlimit { current: Some(target), maximum };
    let is_raised = is_enough || setrlimit(Resource::Nofile, raised).is_ok();
    let allowed = if is_raised { target } else { current.unwrap_or(target) };
    let for_connections = (allowed as usize).saturating_sub(RESERVED_DESCRIPTORS).max(1);
    if for_connections < connections {
        warn!(
            max_connections = connections,
            allowed = for_connections,
            "the descriptor limit allows fewer connections than configured; more are closed on accept; raise it (ulimit -n)"
        );
    }
    for_connections.min(connections)
}
