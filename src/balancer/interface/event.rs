//! The events that the embedding proxy passes to the balancer.

#[cfg(doc)]
use super::Action;
use super::{Arrival, BackendId, Entry, ListKind, RequestId, Resolved};

/// An event that the embedding proxy passes to the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The list of backends, or changes to it, arrived.
    List {
        /// Relation of the entries to the list so far.
        kind: ListKind,
        /// Entries of the list or of the changes.
        entries: Vec<Entry>,
    },
    /// A request arrived; exactly one final answer is due.
    Request(Arrival),
    /// The last byte of a pending request body arrived, so that the backend can begin to process the request.
    BodyComplete {
        /// Id of the request.
        request: RequestId,
        /// Clock time (ms) at which the client gives up.
        deadline_ms: f64,
    },
    /// An attempt ended.
    Resolved(Resolved),
    /// The client disconnected; no answer is due any more.
    ClientGone {
        /// Id of the request.
        request: RequestId,
    },
    /// Connections to backends became free after the end of the attempts that took them.
    ConnectionsFreed,
    /// The number of processes changed that share this instance's budgets while one replaces another; each of
    /// them has its own balancer.
    LocalProcesses {
        /// Number of such processes, including this one.
        processes: u32,
    },
    /// The membership reported the live instances; the budgets of the fleet are divided by their number.
    Peers {
        /// Number of live instances, including this one.
        alive: u32,
        /// Number of instances that are alive or left recently, including this one.
        known: u32,
        /// Rank of this instance among the live ones, from 0, in an order that all of them share; `None` if
        /// it is not known.
        rank: Option<u32>,
    },
    /// The route table's weights changed. They multiply the list's weights.
    RouteWeights {
        /// Weights by backend, each finite and at least 0; a backend that is not named has weight 1.
        weights: Vec<(BackendId, f64)>,
    },
    /// A timer fired.
    TimerFired {
        /// Token of the [`Action::SetTimer`] that set the timer.
        token: u64,
    },
}
