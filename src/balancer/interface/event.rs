//! The events that a balancer is notified of.

#[cfg(doc)]
use super::Action;
use super::{Arrival, BackendId, Entry, ListKind, RequestId, Resolved};

/// An event that the balancer is notified of.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The list of backends, or changes to it.
    List {
        /// How it relates to the list so far.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A request arrived; exactly one final answer is due.
    Request(Arrival),
    /// The last byte of a request with a pending body arrived: its attempt's backend can begin.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// Clock time (ms) at which its client gives up.
        deadline_ms: f64,
    },
    /// An attempt ended.
    Resolved(Resolved),
    /// The client left; no answer is due any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// Number of processes that share this instance's budgets while one replaces another, each with a
    /// balancer of its own.
    LocalProcesses {
        /// Their number, this one included.
        processes: u32,
    },
    /// Number of live instances, as this one sees it: what the fleet shares is divided by them.
    Peers {
        /// Alive, this instance included.
        alive: u32,
        /// Alive, or gone a short while ago, this instance included.
        known: u32,
        /// This instance's rank among those alive, from 0, in an order that all of them know; none if it is
        /// not known.
        rank: Option<u32>,
    },
    /// The route table's weights, by which the list's are multiplied; a backend that is not named has 1.
    RouteWeights {
        /// Finite, 0 or more.
        weights: Vec<(BackendId, f64)>,
    },
    /// A timer fired.
    TimerFired {
        /// As given in [`Action::SetTimer`].
        token: u64,
    },
}
