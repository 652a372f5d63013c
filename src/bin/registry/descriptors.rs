//! The process's limit on file descriptors, raised as far as the connections need it.
//!
//! Failure: every descriptor is taken by a connection, and the log or a snapshot can't be opened or synced. How it shows:
//! writes are answered 503 until clients close their connections. Why the guard holds: connections are limited to
//! what the system's limit leaves after the descriptors that the rest of the process needs.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tracing::warn;

/// Descriptors that are no connections: standard streams, the listener, the event loop, the log, a snapshot and a
/// recorded segment while they are written, the directory while it is synced, and a connection that is closed as soon as
/// it is accepted.
const RESERVED_DESCRIPTORS: usize = 32;

/// Raises the process's limit so that `connections` fit. Returns how many do, if the system allows fewer.
pub(crate) fn allow_connections(connections: usize) -> usize {
    let wanted = connections.saturating_add(RESERVED_DESCRIPTORS) as u64;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let target = wanted.min(maximum.unwrap_or(wanted));
    let is_enough = current.is_none_or(|current| current >= target);
    let raised = Rlimit { current: Some(target), maximum };
    let is_raised = is_enough || setrlimit(Resource::Nofile, raised).is_ok();
    let allowed = if is_raised { target } else { current.unwrap_or(target) };
    let for_connections = (allowed as usize).saturating_sub(RESERVED_DESCRIPTORS).max(1);
    if for_connections < connections {
        warn!(
            max_connections = connections,
            allowed = for_connections,
            "the system allows fewer connections than configured, more are closed as they come; raise its limit (ulimit -n)"
        );
    }
    for_connections.min(connections)
}
