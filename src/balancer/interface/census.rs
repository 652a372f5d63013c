//! What operators are told of the backends.

#[cfg(doc)]
use super::ListGuard;

/// What a backend gets of this copy's calls, and why it is less than its weight says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficShare {
    /// Its part.
    Full,
    /// Out of service for its errors, its slowness or its silence.
    Ejected,
    /// It started a short while ago.
    WarmingUp,
    /// It finishes its work.
    Draining,
    /// Not in this copy's subset.
    OutsideSubset,
    /// It fails calls or is surely slower than the others.
    Slow,
}

/// The backends in the list, for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Census {
    /// Those that take work or drain.
    pub listed: usize,
    /// Those of them that get no ordinary work now: out of service or draining.
    pub excluded: usize,
    /// Those that stay in service though the list has lost them ([`ListGuard`]).
    pub unlisted: usize,
}
