//! Opening of a data directory: reads the state, cuts a torn write off the log and starts a new range of versions.
//!
//! This runs once, before the registry listens.
//!
//! # A replaced disk
//!
//! Failure: the data directory is empty, is an older copy or has lost its last records, and the registry assigns
//! versions or fencing tokens a second time. A proxy with such a version from before would apply a delta of a
//! different history and keep backends that were removed, and the token of an earlier lease holder would be accepted.
//! How it shows: versions of a service go down, and watches get deltas that do not match their lists. Why the guard
//! holds: every start appends [`Record::Start`] with the current Unix time in microseconds, or a version above
//! everything on disk if that is higher, and versions and tokens continue from there. A registry assigns fewer than
//! one version per microsecond, so all earlier ones are below the start, however many records were lost. A lost
//! version lies in the gap below the start, and the catalog answers it with the full list (`load_balancer::catalog`,
//! `History`). This requires that the clock was not set back after the lost versions were assigned.

use super::error::OpenError;
use super::frame::unframe;
use super::log::{Log, MAX_RECORD_BYTES, SyncMode, sync_directory};
use super::snapshot::Snapshot;
use super::{Record, State};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum length of a snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;
/// Minimum length of a change on disk, in bytes. It bounds the number of versions in the bytes that are cut off the
/// log.
pub(super) const MIN_CHANGE_BYTES: u64 = 64;

/// The findings of a start in the data directory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecoveryReport {
    /// Version of the snapshot; `None` if there was no snapshot.
    pub(crate) snapshot_seq: Option<u64>,
    /// Number of intact records read from the log.
    pub(crate) records: u64,
    /// Number of bytes cut off the end of the log: a write that was torn by a crash, or corrupted on disk.
    pub(crate) cut_bytes: u64,
}

/// The result of opening a data directory.
pub(crate) struct OpenedStore {
    /// Log, open for appending.
    pub(crate) log: Log,
    /// State read from the snapshot and the log.
    pub(crate) state: State,
    /// Findings during the recovery.
    pub(crate) recovery: RecoveryReport,
}

impl Log {
    /// Opens a data directory and reads the state from it.
    ///
    /// At most `max_tombstones` deletions are kept for deltas. The directory and an empty log are created if they are
    /// missing. Existing files are not changed until the snapshot and the log were read without an error.
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

/// Applies the log's records to the state, and truncates the log after the last intact one. Returns the resulting
/// length of the log in bytes.
///
/// Failure: a crash during a write leaves a frame that is truncated, has a wrong checksum or consists of zeros. How it
/// shows: records appended after it would not be read by the next start, although they were answered as stored. Why the
/// truncation is safe: a torn write was never synced, so it was never answered as stored. If the disk has corrupted an
/// older record, answered records after it are lost too; the gap below the start covers their versions.
fn replay_log(file: &mut File, state: &mut State, report: &mut RecoveryReport) -> Result<u64, OpenError> {
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)?;
    let mut offset = 0;
    while let Some((payload, frame_length)) = unframe(&bytes[offset..], MAX_RECORD_BYTES) {
        // Eight zero bytes are a valid frame with an empty payload; a crash may leave zeros at the end of the file.
        if payload.is_empty() {
            break;
        }
        let unknown_format = OpenError::RecordOfLaterBuild { number: report.records + 1, offset };
        state.apply(Record::decode(payload).ok_or(unknown_format)?);
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

/// Returns the version from which this start continues: the Unix time in microseconds, or, if that is not higher, a
/// version above everything on disk and above every version that the bytes cut off the log can have had.
fn first_version(state: &State, cut_bytes: u64) -> u64 {
    let unix_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let newest_on_disk = state.catalog.newest().max(state.token);
    unix_us.max(newest_on_disk + 1 + cut_bytes / MIN_CHANGE_BYTES)
}
