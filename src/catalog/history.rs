//! The one sequence of versions that all services share.

use std::collections::VecDeque;

/// Starts whose gaps are kept; a watch from before the oldest one gets the whole list.
pub const MAX_GAPS: usize = 64;

/// Which versions were given out in this history.
#[derive(Default)]
pub struct History {
    newest: u64,
    last_start: u64,
    /// Versions between these were never given out: a watch from there holds what was lost, or another history.
    gaps: VecDeque<(u64, u64)>,
    /// The end of the newest gap that is no longer kept.
    horizon: u64,
}

impl History {
    /// As it was saved.
    pub fn restored(newest: u64, gaps: VecDeque<(u64, u64)>, horizon: u64) -> History {
        History { newest, last_start: 0, gaps, horizon }
    }

    /// The newest version.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The version of the last start that is known.
    pub fn last_start(&self) -> u64 {
        self.last_start
    }

    /// Nothing is known of gaps before this version.
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    /// How many gaps are kept.
    pub fn gaps(&self) -> usize {
        self.gaps.len()
    }

    /// The gaps that are kept.
    pub fn kept_gaps(&self) -> &VecDeque<(u64, u64)> {
        &self.gaps
    }

    /// Whether a version was never given out in this history, between two starts.
    pub fn lost(&self, version: u64) -> bool {
        self.gaps.iter().any(|&(last, next)| last < version && version < next)
    }

    /// Takes a change's version, unless it is not newer than all before it.
    pub fn advance(&mut self, version: u64) -> bool {
        if version <= self.newest && self.newest > 0 {
            return false;
        }
        self.newest = version;
        true
    }

    /// Goes on from a version that is newer than all before it.
    pub fn start(&mut self, version: u64) {
        if version <= self.newest {
            return;
        }
        self.gaps.push_back((self.newest, version));
        if self.gaps.len() > MAX_GAPS {
            let oldest = self.gaps.pop_front().map_or(0, |(_, end)| end);
            self.horizon = self.horizon.max(oldest);
        }
        (self.newest, self.last_start) = (version, version);
    }
}
