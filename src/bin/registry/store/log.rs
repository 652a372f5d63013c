//! The log on disk, to which the writer thread appends, and its compaction into a snapshot.

use super::frame::frame;
use super::snapshot::Snapshot;
use super::{Record, State};
use serde::Deserialize;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Maximum length of a record, in bytes. A longer one is treated as corrupt when the log is read.
pub(crate) const MAX_RECORD_BYTES: usize = 16 << 20;
/// Length of the log, in bytes, at which it is compacted however few records it has, since a start reads all of it.
const MAX_LOG_BYTES: u64 = 512 << 20;

/// The mode in which records are synced to disk.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize, clap::ValueEnum)]
// The name "Sync" is kept because it appears in error messages about the configuration file.
#[serde(rename = "Sync", rename_all = "lowercase")]
pub(crate) enum SyncMode {
    /// One `fsync` for all the writes that arrived together.
    Group,
    /// One `fsync` for every record: the baseline that group commit is measured against.
    Each,
}

/// The log on disk, owned by the writer thread.
pub(crate) struct Log {
    directory: PathBuf,
    file: File,
    /// Length of the intact records in the log, in bytes.
    length: u64,
    /// Number of records written since the last snapshot.
    records_since_snapshot: u64,
    sync: SyncMode,
    /// Set when a failed write could not be undone. The next start would cut the log off there, and later records would
    /// be lost.
    is_broken: bool,
}

impl Log {
    /// Creates a log on an open file that has this length in bytes and this number of records.
    pub(super) fn new(directory: &Path, file: File, length: u64, records: u64, sync: SyncMode) -> Log {
        Log {
            directory: directory.to_path_buf(),
            file,
            length,
            records_since_snapshot: records,
            sync,
            is_broken: false,
        }
    }

    /// Appends the records and syncs them. On failure the log is restored to its previous length.
    ///
    /// Failure: a full disk leaves part of a record at the log's end. How it shows: the next start cuts the log off
    /// there and loses every record appended later. Why the guard holds: the file is truncated to its intact length,
    /// and if that fails too, no further record is accepted until a restart.
    pub(crate) fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if self.is_broken {
            return Err(io::Error::other(
                "an earlier failed write could not be taken back; restart the registry",
            ));
        }
        match self.write(records) {
            Ok(written) => {
                self.length += written;
                self.records_since_snapshot += records.len() as u64;
                Ok(())
            }
            Err(e) => {
                self.is_broken = self.file.set_len(self.length).is_err();
                Err(e)
            }
        }
    }

    /// Writes and syncs the records in the configured mode. Returns the number of bytes written.
    fn write(&mut self, records: &[Record]) -> io::Result<u64> {
        let mut written = 0;
        let mut unsynced = Vec::new();
        for record in records {
            unsynced.extend_from_slice(&frame(&record.encode().map_err(io::Error::other)?));
            if self.sync == SyncMode::Each {
                written += self.write_synced(&unsynced)?;
                unsynced.clear();
            }
        }
        if !unsynced.is_empty() {
            written += self.write_synced(&unsynced)?;
        }
        Ok(written)
    }

    fn write_synced(&mut self, bytes: &[u8]) -> io::Result<u64> {
        self.file.write_all(bytes)?;
        self.file.sync_data()?;
        Ok(bytes.len() as u64)
    }

    /// Returns true if the log has `snapshot_every` records or [`MAX_LOG_BYTES`] since the last snapshot.
    pub(crate) fn is_snapshot_due(&self, snapshot_every: u64) -> bool {
        self.records_since_snapshot >= snapshot_every || self.length >= MAX_LOG_BYTES
    }

    /// Compacts the log: writes the state as the snapshot, then empties the log. Returns the snapshot's length in
    /// bytes.
    ///
    /// Failure: a crash during the compaction. Before the rename, the earlier snapshot and the log are unchanged.
    /// Between the rename and the truncation, the log still has records that the snapshot contains. A start skips
    /// those with a version, which is not newer than the snapshot's. Leases, their releases and renewals of entries
    /// have no version and are applied again, in their order. For leases the result is the same. For the TTL of an
    /// entry it is the same unless a change with a version set it after the last renewal in the log: then the TTL of
    /// that renewal is in effect until the next write.
    pub(crate) fn compact(&mut self, state: &State) -> io::Result<u64> {
        let record = frame(&serde_json::to_vec(&Snapshot::of(state)).map_err(io::Error::other)?);
        let temporary = self.directory.join("snapshot.tmp");
        let mut file = File::create(&temporary)?;
        file.write_all(&record)?;
        file.sync_all()?;
        fs::rename(&temporary, self.directory.join("snapshot"))?;
        sync_directory(&self.directory)?;
        self.file.set_len(0)?;
        self.file.sync_all()?;
        self.length = 0;
        self.records_since_snapshot = 0;
        Ok(record.len() as u64)
    }
}

/// Syncs a directory, so that files created or renamed in it survive a power failure.
pub(super) fn sync_directory(directory: &Path) -> io::Result<()> {
    File::open(directory)?.sync_all()
}
