//! The sequence of versions that all services share, and the gaps in it.
//!
//! Every start of the registry continues at a version far above all earlier ones. The versions in between were never
//! assigned in this history. A client that holds one of them got it from a history that was lost together with the disk
//! or with the last records of the log.

use std::collections::VecDeque;

/// Maximum number of gaps that are kept. A watch with a version from before the oldest one gets the full list.
pub const MAX_GAPS: usize = 64;

/// A range of versions that were never assigned in this history. Both bounds are exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Gap {
    /// Last version before a start of the registry.
    pub(super) after: u64,
    /// Version of that start.
    pub(super) until: u64,
}

/// The versions that were assigned in this history.
#[derive(Default)]
pub(super) struct History {
    newest: u64,
    last_start: u64,
    /// The most recent gaps, at most [`MAX_GAPS`], oldest first.
    gaps: VecDeque<Gap>,
    /// End of the newest gap that was discarded.
    horizon: u64,
}

impl History {
    /// Restores the history of a snapshot, which does not include the version of the last start.
    pub(super) fn restored(newest: u64, gaps: VecDeque<Gap>, horizon: u64) -> History {
        History { newest, last_start: 0, gaps, horizon }
    }

    /// Returns the newest version.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the version of the last start, 0 if none is known.
    pub(super) fn last_start(&self) -> u64 {
        self.last_start
    }

    /// Returns the version up to which gaps were discarded: none that ends at or before it is kept.
    pub(super) fn horizon(&self) -> u64 {
        self.horizon
    }

    /// Returns the gaps that are kept, oldest first.
    pub(super) fn gaps(&self) -> &VecDeque<Gap> {
        &self.gaps
    }

    /// Returns true if a version lies in one of the gaps that are kept, and so belongs to a lost history.
    pub(super) fn is_in_gap(&self, version: u64) -> bool {
        self.gaps.iter().any(|gap| gap.after < version && version < gap.until)
    }

    /// Advances to the version of a change. Returns false, without effect, if it is not newer than all earlier
    /// versions.
    pub(super) fn advance(&mut self, version: u64) -> bool {
        if version <= self.newest && self.newest > 0 {
            return false;
        }
        self.newest = version;
        true
    }

    /// Continues from the version of a start and records the gap below it. Has no effect if the version is not newer
    /// than all earlier ones.
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
