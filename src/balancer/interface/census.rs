//! Statistics about the backends for operators.

#[cfg(doc)]
use super::ListGuard;

/// Whether a backend gets its full share of this instance's calls, or the reason why it gets less.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficShare {
    /// The backend gets the full share that its weight gives it.
    Full,
    /// The backend is ejected for errors, slowness or a hang.
    Ejected,
    /// The backend's process started recently and is warming up.
    WarmingUp,
    /// The backend finishes its work and gets no new work.
    Draining,
    /// The backend is not in this instance's subset.
    OutsideSubset,
    /// The backend fails calls or is significantly slower than the others.
    Slow,
}

/// Numbers of backends by their state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Census {
    /// Number of listed backends, both those that take work and those that drain.
    pub listed: usize,
    /// Number of listed backends that get no ordinary work now, because they are ejected or draining.
    pub excluded: usize,
    /// Number of backends that stay in service although the list lacks them ([`ListGuard`]); they are counted
    /// as listed too.
    pub unlisted: usize,
}
