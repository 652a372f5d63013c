//! The sequence of versions that all services share, and the gaps in it.
//!
//! Every start of the registry continues at a version far above all earlier ones. The versions between were never given
//! out in this history; a client that holds one has it from a history that was lost, with the disk or with its last
//! records.

use std::collections::VecDeque;

/// Starts whose gaps are remembered; a watch from before the oldest of them gets the full list.
pub const MAX_GAPS: usize = 64;

/// Versions that were never given out in this history: those between the two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Gap {
    /// The last version before a start.
    pub(super) after: u64,
    /// The start's version.
    pub(super) until: u64,
}

/// The versions that were given out in this history.
#[derive(Default)]
pub(super) struct History {
    newest: u64,
    last_start: u64,
    /// The gaps that are remembered, oldest first.
    gaps: VecDeque<Gap>,
    /// The end of the newest gap that is no longer remembered.
    horizon: u64,
}

impl History {
    /// The history of a snapshot, without the version of the last start.
    pub(super) fn restored(newest: u64, gaps: VecDeque<Gap>, horizon: u64) -> History {
        History { newest, last_start: 0, gaps, horizon }
    }

    /// The newest version.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// The version of the last start; 0 if none is known.
    pub(super) fn last_start(&self) -> u64 {
        self.last_start
    }

    /// Gaps that end at or before this version are not remembered.
    pub(super) fn horizon(&self) -> u64 {
        self.horizon
    }

    /// The gaps that are remembered, oldest first.
    pub(super) fn gaps(&self) -> &VecDeque<Gap> {
        &self.gaps
    }

    /// Whether a version lies in a remembered gap, so that it is of a history that was lost.
    pub(super) fn is_in_gap(&self, version: u64) -> bool {
        self.gaps.iter().any(|gap| gap.after < version && version < gap.until)
    }

    /// Advances to a change's version. False, and without effect, if it is not newer than all before it.
    pub(super) fn advance(&mut self, version: u64) -> bool {
        if version <= self.newest && self.newest > 0 {
            return false;
        }
        self.newest = version;
        true
    }

    /// Continues from a version, and remembers the gap below it. Without effect if the version is not newer than all
    /// before it.
    pub(super) fn start(&mut self, version: u64) {
        if version <= self.newest {
            return;
        }
        self.gaps.push_back(Gap { after: self.newest, until: version });
        if self.gaps.len() > MAX_GAPS {
            let oldest_end = self.gaps.pop_front().map_or(0, |gap| gap.until);
            self.horizon = self.horizon.max(oldest_end);
        }
        self.newest = version;
        self.last_start = version;
    }
}
