//! What the process's descriptors are for: each connection takes one, and the files need theirs however many come.

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tracing::warn;

/// Descriptors that are no connections: standard streams, the listener, the event loop, the log, a snapshot and a recorded
/// segment as they are written, the directory as it is synced, and a connection that is closed as it comes.
const RESERVED: usize = 32;

/// So many connections, or as many as the system allows: its limit for the process is raised as far as it goes.
pub fn allow(connections: usize) -> usize {
    let wanted = connections.saturating_add(RESERVED) as u64;
    let Rlimit { current, maximum } = getrlimit(Resource::Nofile);
    let raised = wanted.min(maximum.unwrap_or(wanted));
    let enough = current.is_none_or(|current| current >= raised);
    let limit = Rlimit { current: Some(raised), maximum };
    let allowed =
        if enough || setrlimit(Resource::Nofile, limit).is_ok() { raised } else { current.unwrap_or(raised) };
    let left = (allowed as usize).saturating_sub(RESERVED).max(1);
    if left < connections {
        warn!(
            max_connections = connections,
            allowed = left,
            "the system allows fewer connections than configured, more are closed as they come; raise its limit (ulimit -n)"
        );
    }
    left.min(connections)
}
