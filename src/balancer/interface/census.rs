//! Figures about the backends for operators.

#[cfg(doc)]
use super::ListGuard;

/// The share that a backend gets of this instance's calls, and why it is less than its weight says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficShare {
    /// Its full share.
    Full,
    /// Ejected for errors, slowness or a hang.
    Ejected,
    /// Its process started a short while ago.
    WarmingUp,
    /// It finishes its work and gets none.
    Draining,
    /// Not in this instance's subset.
    OutsideSubset,
    /// It fails calls or is significantly slower than the others.
    Slow,
}

/// Numbers of backends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Census {
    /// Listed: those that take work or drain.
    pub listed: usize,
    /// Those of them that get no ordinary work now: ejected or draining.
    pub excluded: usize,
    /// Those that stay in service though the list lacks them ([`ListGuard`]).
    pub unlisted: usize,
}
