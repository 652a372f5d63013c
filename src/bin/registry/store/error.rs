//! Errors of opening a data directory.

use std::io;
use thiserror::Error;

/// Error for a data directory that can't be opened. Its files are unchanged, except that with `Io` a torn write may
/// already have been cut off the log.
#[derive(Error, Debug)]
pub(crate) enum OpenError {
    /// The operating system refuses access, or the disk fails.
    #[error("{0}; give a directory that can be written, or restore a copy of its snapshot and log")]
    Io(#[from] io::Error),
    /// The snapshot's frame is truncated or its checksum does not match.
    #[error("snapshot: checksum or length is wrong; restore a copy of the snapshot and the log")]
    CorruptSnapshot,
    /// The snapshot's checksum matches, but this build does not know its format.
    #[error(
        "snapshot: {0}; a later build wrote it: start that one, or restore an older copy of the directory"
    )]
    SnapshotOfLaterBuild(serde_json::Error),
    /// A record's checksum matches, but this build does not know its format.
    #[error(
        "log: record {number} at byte {offset} is intact but has a format that this build does not know; a later build \
         wrote it: start that one, or restore an older copy of the directory. Nothing was cut off"
    )]
    RecordOfLaterBuild {
        /// Number of the record in the log, counted from 1.
        number: u64,
        /// Position of the record's frame, in bytes from the start of the log.
        offset: usize,
    },
}
