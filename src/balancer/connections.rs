//! The connections to backends. Each attempt takes one, and a long response keeps it after the attempt's end.
//! A request is sent only while one is free, so that its response has room however long it is; until then it
//! waits in its slice's queue, and connections that become free go to the slices in descending order of
//! priority.
//!
//! While long responses hold half of the connections, a part of the others is left for the higher slices. An
//! embedding proxy that never calls [`Balancer::set_connection_use`] has as many connections as it needs.

use super::Balancer;
use crate::interface::*;

/// Divisor that gives the part of the connections from which on long responses make them short.
const SHORT_DIVISOR: u32 = 2;
/// Divisor that gives the part of the connections that is left for higher slices while they are short.
const RESERVED_DIVISOR: usize = 4;

/// State of the connections to backends.
#[derive(Default)]
pub(super) struct Connections {
    /// The present use; `None` if connections are not limited.
    current: Option<ConnectionUse>,
    /// Number of requests that were shed without an attempt while no connection was left for them.
    shed: u64,
}

impl Connections {
    /// Returns whether a slice may take a connection, of `slices` in descending order of priority.
    fn allow(&self, slice: usize, slices: usize) -> bool {
        let Some(current) = self.current else { return true };
        let is_short = current.responses >= current.most.div_ceil(SHORT_DIVISOR);
        let reserved =
            if is_short { current.most as usize / RESERVED_DIVISOR * slice / slices.max(1) } else { 0 };
        current.free as usize > reserved
    }

    /// Counts a connection that an attempt takes.
    pub(super) fn take(&mut self) {
        if let Some(current) = &mut self.current {
            current.free = current.free.saturating_sub(1);
        }
    }
}

impl Balancer {
    /// Sets the use of the connections to backends, which holds until the next call: each [`Action::Send`]
    /// takes one of those that are free. An embedding proxy with a limited number calls this before it passes
    /// on an event.
    pub fn set_connection_use(&mut self, current: ConnectionUse) {
        self.connections.current = Some(current);
    }

    /// Returns the number of requests that were shed because no connection to a backend was left for them.
    pub fn shed_for_connections(&self) -> u64 {
        self.connections.shed
    }

    /// Returns whether requests wait in the queues while no connection to a backend is left.
    pub fn has_requests_without_connection(&self) -> bool {
        self.connections.current.is_some_and(|current| current.free == 0) && self.admission.queued() > 0
    }

    /// Returns whether a connection is left for a slice.
    pub(super) fn has_connection(&self, slice: usize) -> bool {
        self.connections.allow(slice, self.admission.slices.len())
    }

    /// Counts a request that is shed, if no connection was left for it.
    pub(super) fn count_shed(&mut self, id: RequestId) {
        let waited = self.requests.get(&id).filter(|request| request.attempts.is_empty());
        if waited.is_some_and(|request| !self.has_connection(request.slice)) {
            self.connections.shed += 1;
        }
    }

    /// Makes room in full queues for a request of a slice that waits for a connection: sheds the latest
    /// request of the lowest slice below it. Returns whether there was one.
    pub(super) fn shed_lower(&mut self, now_ms: f64, slice: usize, out: &mut Vec<Action>) -> bool {
        while let Some(id) = self.admission.pop_below(slice) {
            if self.requests.contains_key(&id) {
                self.reject_or_fail(now_ms, id, out);
                return true;
            }
        }
        false
    }
}
