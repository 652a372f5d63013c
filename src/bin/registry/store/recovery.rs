//! Opening a data directory: reads the state, cuts a torn write off the log, starts a new range of versions.
//!
//! Runs once, before the registry listens.
//!
//! # A replaced disk
//!
//! Failure: the data directory is empty, an older copy, or has lost its last records, and the registry gives out
//! versions or fencing tokens a second time. A proxy that holds such a version from before would take a delta of another
//! history and keep backends that are gone; an earlier lease holder would pass a fence. How it shows: versions of one
//! service fall, and watches are answered with deltas that do not fit. Why the guard holds: every start appends
//! [`Record::Start`] with the present Unix time in microseconds, or one more than everything on disk where that is
//! higher, and versions and tokens continue from there. A registry gives out less than one version a microsecond, so all
//! earlier ones are below the start, however many records were lost. A lost version lies in the gap below the start, so
//! that the catalog answers it with the full list (`load_balancer::catalog`, `History`). This needs a clock that was
//! not set back since the lost versions were given out.

use super::error::OpenError;
use super::frame::unframe;
use super::log::{Log, MAX_RECORD_BYTES, SyncMode, sync_directory};
use super::snapshot::Snapshot;
use super::{Record, State};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Longest snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;
/// Fewest bytes that a change takes on disk. From the bytes cut off the log it bounds how many versions they held.
pub(super) const MIN_CHANGE_BYTES: u64 = 64;

/// What a start found in the data directory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecoveryReport {
    /// The version of the snapshot, if there was one.
    pub(crate) snapshot_seq: Option<u64>,
    /// Intact records read from the log.
    pub(crate) records: u64,
    /// Bytes cut off the log's end: a write that was torn by a crash, or damaged by the disk.
    pub(crate) cut_bytes: u64,
}

/// A data directory that was opened.
pub(crate) struct OpenedStore {
    /// Its log, to be appended to.
    pub(crate) log: Log,
    /// The state that was read from it.
    pub(crate) state: State,
    /// What was found in it.
    pub(crate) recovery: RecoveryReport,
}

impl Log {
    /// Opens a data directory, or creates it, and reads the state from it.
    ///
    /// At most `max_tombstones` deletions are kept for deltas. The directory and an empty log are created where they are
    /// missing. Until snapshot and log were read without an error, nothing that was in the directory is changed.
    pub(crate) fn open(
        directory: &Path,
        sync: SyncMode,
        max_tombstones: usize,
    ) -> Result<OpenedStore, OpenError> {
        fs::create_dir_all(directory)?;
        let snapshot = read_snapshot(directory)?;
        let mut report = RecoveryReport {
            snapshot_seq: snapshot.as_ref().map(|snapshot| snapshot.seq),
            ..RecoveryReport::default()
        };
        let mut state = match snapshot {
            Some(snapshot) => snapshot.restore(max_tombstones),
            None => State::new(max_tombstones),
        };
        let path = directory.join("log");
        let mut file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let length = replay_log(&mut file, &mut state, &mut report)?;
        sync_directory(directory)?;
        let mut log = Log::new(directory, file, length, report.records, sync);
        let start = first_version(&state, report.cut_bytes);
        log.append(&[Record::Start(start)])?;
        state.start(start);
        Ok(OpenedStore { log, state, recovery: report })
    }
}

fn read_snapshot(directory: &Path) -> Result<Option<Snapshot>, OpenError> {
    let bytes = match fs::read(directory.join("snapshot")) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e.into()),
    };
    let (payload, _) = unframe(&bytes, MAX_SNAPSHOT_BYTES).ok_or(OpenError::CorruptSnapshot)?;
    serde_json::from_slice(payload).map(Some).map_err(OpenError::SnapshotOfLaterBuild)
}

/// Applies the log's records to the state, and cuts the log after the last intact one. Returns its length then.
///
/// Failure: a crash during a write leaves a frame that is cut short, has the wrong checksum or consists of zeros. How it
/// shows: records appended after it would not be read by the next start, although they were answered as stored. Why the
/// cut is safe: the torn write was never synced, so it was never answered.
fn replay_log(file: &mut File, state: &mut State, report: &mut RecoveryReport) -> Result<u64, OpenError> {
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let mut offset = 0;
    while let Some((payload, frame_length)) = unframe(&bytes[offset..], MAX_RECORD_BYTES) {
        // Eight zeros are a frame with an empty payload and the right checksum; a crash may leave them at the end.
        if payload.is_empty() {
            break;
        }
        let unknown = OpenError::RecordOfLaterBuild { number: report.records + 1, offset };
        state.apply(Record::decode(payload).ok_or(unknown)?);
        report.records += 1;
        offset += frame_length;
    }
    if offset < bytes.len() {
        report.cut_bytes = (bytes.len() - offset) as u64;
        file.set_len(offset as u64)?;
        file.sync_all()?;
    }
    Ok(offset as u64)
}

/// The version from which this start continues: the Unix time in microseconds, and in any case above everything on disk
/// and everything that the bytes cut off the log can have held.
fn first_version(state: &State, cut_bytes: u64) -> u64 {
    let unix_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let newest_on_disk = state.catalog.newest().max(state.token);
    unix_us.max(newest_on_disk + 1 + cut_bytes / MIN_CHANGE_BYTES)
}
