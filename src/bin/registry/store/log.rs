//! The log on disk and the snapshot beside it.

use super::frame::{frame, unframe};
use super::snapshot::Snapshot;
use super::{Record, State};
use serde::Deserialize;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Longest record, in bytes: anything longer is taken for garbage on reading.
pub const MAX_RECORD: usize = 16 << 20;
/// Longest log, in bytes: then it is compacted however few its records are. A start reads all of it.
const MAX_LOG: u64 = 512 << 20;
/// A snapshot may be larger than a record.
const MAX_SNAPSHOT: usize = 1 << 30;
/// No change takes fewer bytes on disk: so many versions a cut can have held at the most.
pub(super) const MIN_RECORD: u64 = 64;

/// When a write is on disk.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    /// One `fsync` for all the writes that arrived together.
    Group,
    /// One `fsync` for every record: the baseline that group commit is measured against.
    Each,
}

/// The log on disk.
pub struct Log {
    dir: PathBuf,
    file: File,
    /// Bytes of whole records in the log.
    length: u64,
    /// Records written since the last snapshot.
    since_snapshot: u64,
    sync: Sync,
    /// Set when a failed write could not be taken back: records after it would be cut on the next start.
    broken: bool,
}

/// What a start found on disk.
pub struct Found {
    /// The version of the snapshot, if there was one.
    pub snapshot_seq: Option<u64>,
    /// Whole records read from the log.
    pub records: u64,
    /// Bytes cut from the log's end: a torn or spoilt last write.
    pub cut: u64,
}

/// Why a data directory can't be opened. Nothing in it has been changed then.
#[derive(Error, Debug)]
pub enum OpenError {
    /// The system refuses.
    #[error("{0}; give a directory that can be written, or put back a copy of its snapshot and log")]
    Io(#[from] io::Error),
    /// The snapshot is spoilt.
    #[error("snapshot: checksum or length is wrong; put back a copy of the snapshot and the log")]
    SnapshotSpoilt,
    /// The snapshot is sound, but not of a form that this build knows.
    #[error(
        "snapshot: {0}; a later build wrote it: start that one, or put back an older copy of the directory"
    )]
    SnapshotOfLaterBuild(serde_json::Error),
    /// A record is sound, but not of a form that this build knows.
    #[error(
        "log: record {number} at byte {at} is sound but of a form that this build does not know; a later build wrote \
         it: start that one, or put back an older copy of the directory. Nothing was cut off"
    )]
    RecordOfLaterBuild {
        /// Which, from 1 on.
        number: u64,
        /// Where it begins.
        at: usize,
    },
}

fn sync_dir(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

fn read_snapshot(dir: &Path) -> Result<Option<Snapshot>, OpenError> {
    let bytes = match fs::read(dir.join("snapshot")) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let (payload, _) = unframe(&bytes, MAX_SNAPSHOT).ok_or(OpenError::SnapshotSpoilt)?;
    serde_json::from_slice(payload).map(Some).map_err(OpenError::SnapshotOfLaterBuild)
}

impl Log {
    /// Opens the data directory, or makes it, and reads the state from it. A torn tail is cut off the log.
    pub fn open(dir: &Path, sync: Sync, max_tombstones: usize) -> Result<(Log, State, Found), OpenError> {
        fs::create_dir_all(dir)?;
        let snapshot = read_snapshot(dir)?;
        let snapshot_seq = snapshot.as_ref().map(|snapshot| snapshot.seq);
        let mut state =
            snapshot.map_or_else(|| State::new(max_tombstones), |snapshot| snapshot.restore(max_tombstones));
        let mut found = Found { snapshot_seq, records: 0, cut: 0 };
        let path = dir.join("log");
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let mut at = 0;
        while let Some((payload, used)) = unframe(&bytes[at..], MAX_RECORD) {
            // Zeros, as a crash may leave them at the end, are a frame with nothing in it.
            if payload.is_empty() {
                break;
            }
            let later = OpenError::RecordOfLaterBuild { number: found.records + 1, at };
            state.apply(Record::decode(payload).ok_or(later)?);
            found.records += 1;
            at += used;
        }
        if at < bytes.len() {
            found.cut = (bytes.len() - at) as u64;
            file.set_len(at as u64)?;
            file.sync_all()?;
        }
        sync_dir(dir)?;
        let mut log = Log {
            dir: dir.to_path_buf(),
            file,
            length: at as u64,
            since_snapshot: found.records,
            sync,
            broken: false,
        };
        // Every start goes on at the time, in microseconds, so that versions lost with the cut, with an older copy
        // of the directory or with the directory itself lie in a gap and are not taken for this history's.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let start = unix.max(state.catalog.newest().max(state.token) + 1 + found.cut / MIN_RECORD);
        log.append(&[Record::Start(start)])?;
        state.start(start);
        Ok((log, state, found))
    }

    /// Writes the records and makes them durable; on failure the log is put back as it was.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        if self.broken {
            return Err(io::Error::other(
                "an earlier failed write could not be taken back; restart the registry",
            ));
        }
        let mut written = 0;
        let result = (|| {
            let mut batch = Vec::new();
            for record in records {
                let record = frame(&record.encode().map_err(io::Error::other)?);
                if self.sync == Sync::Each {
                    self.file.write_all(&record)?;
                    self.file.sync_data()?;
                    written += record.len() as u64;
                } else {
                    batch.extend_from_slice(&record);
                }
            }
            if !batch.is_empty() {
                self.file.write_all(&batch)?;
                self.file.sync_data()?;
                written += batch.len() as u64;
            }
            Ok(())
        })();
        match result {
            Ok(()) => {
                self.length += written;
                self.since_snapshot += records.len() as u64;
                Ok(())
            }
            Err(e) => {
                // What was written in part must not stand in front of the next record.
                self.broken = self.file.set_len(self.length).is_err();
                Err(e)
            }
        }
    }

    /// Whether it is time for a snapshot.
    pub fn due(&self, snapshot_every: u64) -> bool {
        self.since_snapshot >= snapshot_every || self.length >= MAX_LOG
    }

    /// Writes the state as the snapshot and begins the log anew: compaction.
    pub fn compact(&mut self, state: &State) -> io::Result<u64> {
        let record = frame(&serde_json::to_vec(&Snapshot::of(state)).map_err(io::Error::other)?);
        let temporary = self.dir.join("snapshot.tmp");
        let mut file = File::create(&temporary)?;
        file.write_all(&record)?;
        file.sync_all()?;
        fs::rename(&temporary, self.dir.join("snapshot"))?;
        sync_dir(&self.dir)?;
        // A crash before this line leaves records that the snapshot holds already; a start passes over them.
        self.file.set_len(0)?;
        self.file.sync_all()?;
        self.length = 0;
        self.since_snapshot = 0;
        Ok(record.len() as u64)
    }
}
