//! Why a data directory can't be opened.

use std::io;
use thiserror::Error;

/// Why a data directory can't be opened. With all but `Io` nothing that was in it has been changed then; after `Io` a
/// torn write may have been cut off its log already.
#[derive(Error, Debug)]
pub(crate) enum OpenError {
    /// The operating system refuses access, or the disk fails.
    #[error("{0}; give a directory that can be written, or put back a copy of its snapshot and log")]
    Io(#[from] io::Error),
    /// The snapshot's frame is cut short or its checksum does not match.
    #[error("snapshot: checksum or length is wrong; put back a copy of the snapshot and the log")]
    CorruptSnapshot,
    /// The snapshot's checksum matches, but this build does not know its form.
    #[error(
        "snapshot: {0}; a later build wrote it: start that one, or put back an older copy of the directory"
    )]
    SnapshotOfLaterBuild(serde_json::Error),
    /// A record's checksum matches, but this build does not know its form.
    #[error(
        "log: record {number} at byte {offset} is sound but of a form that this build does not know; a later build wrote \
         it: start that one, or put back an older copy of the directory. Nothing was cut off"
    )]
    RecordOfLaterBuild {
        /// The record's place in the log, from 1 on.
        number: u64,
        /// Where its frame begins, in bytes from the start of the log.
        offset: usize,
    },
}
