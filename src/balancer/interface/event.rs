//! What a copy is told.

#[cfg(doc)]
use super::Action;
use super::{Arrival, BackendId, Entry, ListKind, RequestId, Resolved};

/// What the copy is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The list of backends, or changes to it.
    List {
        /// Relation to what is held.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A request arrived; exactly one final answer is owed.
    Request(Arrival),
    /// The last byte of a request came that had arrived without: its attempt's backend can begin.
    BodyComplete {
        /// The request.
        request: RequestId,
        /// When its client gives up.
        deadline_ms: f64,
    },
    /// An attempt ended.
    Resolved(Resolved),
    /// The client left; nothing more is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// So many processes stand for this copy while one replaces another, each with a module of its own: what
    /// the rules allow to a copy is theirs together.
    LocalProcesses {
        /// Their number, this one included.
        processes: u32,
    },
    /// So many of the copies are present, as this one sees it: what the fleet shares is divided by them.
    Peers {
        /// Alive, this copy included.
        alive: u32,
        /// Alive, or gone not long ago, this copy included.
        known: u32,
        /// This copy's place among those alive, from 0, in an order that all of them know; none if it is not
        /// known.
        rank: Option<u32>,
    },
    /// The route table's weights: picks follow them beside the list's; who is not named has 1.
    RouteWeights {
        /// Finite, 0 or more.
        weights: Vec<(BackendId, f64)>,
    },
    /// A timer came due.
    TimerFired {
        /// As given in [`Action::SetTimer`].
        token: u64,
    },
}
