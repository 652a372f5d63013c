//! The list of backends (endpoint list) as the embedding proxy passes it on.

use super::BackendId;

/// Lifecycle phase of a backend, which determines whether it takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// The backend takes new work.
    #[default]
    Ready,
    /// The backend finishes its work and takes no new work.
    Draining,
    /// The backend was removed.
    Gone,
}

/// A backend's entry in the list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Entry {
    /// Id of the backend.
    pub backend: BackendId,
    /// Lifecycle phase of the backend.
    pub phase: Phase,
    /// Index of the backend's zone.
    pub zone: u16,
    /// Clock time (ms) at which the backend's process started; 0 means long ago.
    pub started_at_ms: f64,
    /// Weight of the backend relative to the others; 1 is the usual weight.
    pub weight: f64,
    /// Index of the backend's cell.
    pub cell: u16,
}

/// Relation of a list event to the list so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The event has the full list; backends that it lacks are gone.
    Full,
    /// The event has only the changed entries.
    Delta,
    /// The event has the full list as last stored, which may be outdated.
    Cached,
    /// A call for the list failed or a subscription broke; the event has no entries.
    Failed,
}
