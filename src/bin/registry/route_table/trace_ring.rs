//! The ring of recorded segments on disk: one file per segment under `traces/`, bounded in bytes and age. The oldest
//! segments are removed first.
//!
//! Only the thread "traces" writes; evaluations and the operators' page may read at the same time. Files are not
//! synced. Failure: a power cut leaves a file that is cut short or has old contents. Its checksum does not match at the
//! next start, so it is removed and counted as `spoilt`. That is sufficient, since a segment is only a sample and the
//! missing number is reported as a gap in its proxy's segments.

use super::segment_error::{SegmentError, SkipReason};
use super::trace_index::{RingPage, SegmentInfo, TraceIndex};
use load_balancer::replay::{BadSegment, Segment};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex, MutexGuard};
use tracing::{info, warn};

/// Maximum number of stored segments, however small they are.
const MAX_SEGMENTS: usize = 1 << 16;
/// Maximum lead of a proxy's clock over the registry's, in milliseconds.
const MAX_CLOCK_AHEAD_MS: f64 = 60_000.0;
/// Margin, in milliseconds, before the replayed time span from which segments are also read: clocks differ, and each
/// proxy cuts its segments at different times.
const READ_MARGIN_MS: f64 = 2.0 * MAX_CLOCK_AHEAD_MS;

/// The ring of recorded segments.
pub(crate) struct TraceRing {
    directory: PathBuf,
    max_bytes: u64,
    /// Maximum age of a segment, in milliseconds.
    keep_ms: u64,
    index: Mutex<TraceIndex>,
    /// Signals that the directory has been read.
    loaded: Condvar,
}

impl TraceRing {
    /// Creates a ring over a directory. [`TraceRing::load`] must be called to read the directory.
    pub(super) fn new(directory: &Path, max_bytes: u64, keep_ms: u64) -> TraceRing {
        TraceRing {
            directory: directory.to_path_buf(),
            max_bytes,
            keep_ms,
            index: Mutex::default(),
            loaded: Condvar::new(),
        }
    }

    fn index(&self) -> MutexGuard<'_, TraceIndex> {
        self.index.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn path(&self, file: u64) -> PathBuf {
        self.directory.join(format!("{file:016}.seg"))
    }

    /// Indexes the segments that an earlier process stored. Unreadable ones are removed and counted.
    pub(super) fn load(&self) {
        for file in self.list_files() {
            self.load_file(file);
        }
        let mut index = self.index();
        index.loaded = true;
        info!(
            segments = index.segments().len(),
            bytes = index.bytes(),
            spoilt = index.counts.corrupt,
            "recorded segments read"
        );
        drop(index);
        self.loaded.notify_all();
    }

    /// Lists the numbers of the segment files, oldest first. Files with other names, such as a segment that was being
    /// written, are removed.
    fn list_files(&self) -> Vec<u64> {
        let paths: Vec<PathBuf> = match fs::read_dir(&self.directory) {
            Ok(entries) => entries.flatten().map(|entry| entry.path()).collect(),
            Err(e) => {
                warn!(error = %e, dir = %self.directory.display(), "cannot list the recorded segments, starting without them");
                Vec::new()
            }
        };
        let mut files = Vec::new();
        for path in paths {
            match file_number(&path) {
                Some(file) => files.push(file),
                None => drop(fs::remove_file(&path)),
            }
        }
        files.sort_unstable();
        files
    }

    fn load_file(&self, file: u64) {
        let bytes = fs::read(self.path(file)).ok();
        let segment = bytes.as_ref().and_then(|bytes| Segment::decode(bytes).ok());
        let mut index = self.index();
        index.next_file = file + 1;
        match (bytes, segment) {
            (Some(bytes), Some(segment)) => {
                index.push(SegmentInfo::new(file, bytes.len() as u64, &segment));
            }
            _ => {
                index.counts.corrupt += 1;
                drop(fs::remove_file(self.path(file)));
            }
        }
        self.evict(&mut index, 0.0);
    }

    /// Stores a segment that arrived at `now_ms` (Unix time in milliseconds). Returns the reason if the segment is
    /// skipped, since it is stored already or too old.
    pub(super) fn store(&self, packed: &[u8], now_ms: u64) -> Result<Option<SkipReason>, SegmentError> {
        let segment = Segment::decode(packed).inspect_err(|bad| self.count_bad(bad))?;
        let now_ms = now_ms as f64;
        let oldest_ms = now_ms - self.keep_ms as f64;
        let end_ms = segment.span_ms.1;
        let mut index = self.index();
        if end_ms > now_ms + MAX_CLOCK_AHEAD_MS {
            index.counts.ahead += 1;
            return Err(SegmentError::Ahead((end_ms - now_ms) as u64));
        }
        let info = SegmentInfo::new(index.next_file, packed.len() as u64, &segment);
        if index.contains(&info.key) {
            index.counts.repeated += 1;
            return Ok(Some(SkipReason::Repeated));
        }
        if end_ms < oldest_ms {
            index.counts.late += 1;
            return Ok(Some(SkipReason::Late));
        }
        index.next_file += 1;
        // Readers may use the index during the write: the file is not in it yet, and no other thread writes.
        drop(index);
        let temporary = self.directory.join("segment.tmp");
        fs::write(&temporary, packed)?;
        fs::rename(&temporary, self.path(info.file))?;
        let mut index = self.index();
        index.push(info);
        self.evict(&mut index, oldest_ms);
        Ok(None)
    }

    fn count_bad(&self, bad: &BadSegment) {
        let counts = &mut self.index().counts;
        match bad {
            BadSegment::Invalid { .. } | BadSegment::TooLong { .. } | BadSegment::UnpackedTooLong => {
                counts.invalid += 1;
            }
            _ => counts.torn += 1,
        }
    }

    /// Removes the oldest segments until the rest is within the bounds and the oldest one does not end before
    /// `oldest_ms`.
    fn evict(&self, index: &mut TraceIndex, oldest_ms: f64) {
        while let Some(oldest) = index.segments().front() {
            let is_within_bounds = index.bytes() <= self.max_bytes && index.segments().len() <= MAX_SEGMENTS;
            if is_within_bounds && oldest.span_ms.1 >= oldest_ms {
                return;
            }
            let Some(removed) = index.pop_oldest() else { return };
            index.counts.aged_out += 1;
            if let Err(e) = fs::remove_file(self.path(removed.file)) {
                warn!(error = %e, file = removed.file, "cannot remove an evicted segment file: it stays on disk and is read again at the next start");
            }
        }
    }

    /// Reads the newest segments: those that end within `span_ms` of the newest one, up to `max_requests` requests in
    /// total but at least one segment. The result is sorted by proxy, process and number; it is `None` once cancelled.
    pub(super) fn newest(
        &self,
        span_ms: f64,
        max_requests: usize,
        is_cancelled: &dyn Fn() -> bool,
    ) -> Option<Vec<Segment>> {
        let newest_first = self.newest_first();
        let oldest_ms = newest_first.first().map_or(0.0, |newest| newest.end_ms - span_ms - READ_MARGIN_MS);
        let mut segments = Vec::new();
        let mut requests = 0;
        for candidate in newest_first {
            requests += candidate.requests;
            let is_enough = requests > max_requests && !segments.is_empty();
            if candidate.end_ms < oldest_ms || is_enough {
                break;
            }
            if is_cancelled() {
                return None;
            }
            // A file that was evicted since is a gap like any other missing segment.
            let bytes = fs::read(self.path(candidate.file)).ok();
            segments.extend(bytes.and_then(|bytes| Segment::decode(&bytes).ok()));
        }
        segments.sort_by(|a, b| (&a.name, a.generation, a.number).cmp(&(&b.name, b.generation, b.number)));
        Some(segments)
    }

    /// Lists the stored segments, sorted from the latest end to the earliest. Waits until the directory has been read.
    fn newest_first(&self) -> Vec<Candidate> {
        let index = self.loaded.wait_while(self.index(), |index| !index.loaded);
        let index = index.unwrap_or_else(|poisoned| poisoned.into_inner());
        let candidate = |segment: &SegmentInfo| Candidate {
            end_ms: segment.span_ms.1,
            requests: segment.traces,
            file: segment.file,
        };
        let mut candidates: Vec<Candidate> = index.segments().iter().map(candidate).collect();
        drop(index);
        candidates.sort_by(|a, b| b.end_ms.total_cmp(&a.end_ms));
        candidates
    }

    /// The operators' page of the ring.
    pub(crate) fn page(&self) -> RingPage {
        self.index().page(self.max_bytes)
    }
}

/// A segment that may be read for an evaluation.
struct Candidate {
    end_ms: f64,
    requests: usize,
    file: u64,
}

/// Parses the number in a segment file's name; `None` for other files.
fn file_number(path: &Path) -> Option<u64> {
    path.file_name()?.to_str()?.strip_suffix(".seg")?.parse().ok()
}
