//! A bounded ring of recorded segments, one file each under `traces/`, the oldest first to go. Not synced: a segment
//! that a power cut spoils is left out by its checksum, and stated as a gap in its proxy's numbers.

use super::held::{Index, Kept, RingPage};
use load_balancer::replay::{BadSegment, Segment};
use serde::Serialize;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex, MutexGuard};
use thiserror::Error;
use tracing::{info, warn};

/// Segments that are held at the most, however small.
const MAX_SEGMENTS: usize = 1 << 16;
/// A proxy's clock may be ahead by so much.
const AHEAD_MS: f64 = 60_000.0;
/// Segments are read from so much before the records that are used: clocks differ, and segments are cut at their own times.
const BEFORE_MS: f64 = 2.0 * AHEAD_MS;

/// Why a segment was not taken.
#[derive(Error, Debug)]
pub enum RingError {
    /// It is none, or spoilt.
    #[error(transparent)]
    Bad(#[from] BadSegment),
    /// It is of a time to come.
    #[error("span_ms: ends {0} ms after this registry's clock; set the proxy's clock right")]
    Ahead(u64),
    /// The disk refused.
    #[error("storage: {0}; make room on the disk of the data directory")]
    Storage(#[from] io::Error),
}

/// Why a sound segment was left out.
#[derive(Serialize, Clone, Copy, Debug, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LeftOut {
    /// It is held already.
    Repeated,
    /// It ended longer ago than segments are kept.
    Late,
}

/// The ring.
pub struct Ring {
    dir: PathBuf,
    most_bytes: u64,
    keep_ms: u64,
    index: Mutex<Index>,
    ready: Condvar,
}

impl Ring {
    /// Over a directory, not read yet.
    pub fn new(dir: &Path, most_bytes: u64, keep_ms: u64) -> Ring {
        Ring { dir: dir.to_path_buf(), most_bytes, keep_ms, index: Mutex::default(), ready: Condvar::new() }
    }

    fn index(&self) -> MutexGuard<'_, Index> {
        self.index.lock().unwrap_or_else(|p| p.into_inner())
    }

    fn path(&self, file: u64) -> PathBuf {
        self.dir.join(format!("{file:016}.seg"))
    }

    /// Reads what an earlier process left; what is spoilt goes, counted.
    pub fn load(&self) {
        let names = match fs::read_dir(&self.dir) {
            Ok(entries) => entries.flatten().map(|e| e.path()).collect(),
            Err(e) => {
                warn!(error = %e, dir = %self.dir.display(), "recorded segments cannot be read");
                Vec::new()
            }
        };
        let number = |path: &Path| path.file_name()?.to_str()?.strip_suffix(".seg")?.parse::<u64>().ok();
        let mut files: Vec<u64> = names.iter().filter_map(|path| number(path)).collect();
        names.iter().filter(|path| number(path).is_none()).for_each(|path| drop(fs::remove_file(path)));
        files.sort_unstable();
        for file in files {
            let read = fs::read(self.path(file)).ok();
            let segment = read.as_ref().and_then(|bytes| Segment::decode(bytes).ok());
            let mut index = self.index();
            index.next = file + 1;
            match (read, segment) {
                (Some(bytes), Some(segment)) => index.add(Kept::of(file, bytes.len() as u64, &segment)),
                _ => {
                    index.counts.spoilt += 1;
                    drop(fs::remove_file(self.path(file)));
                }
            }
            self.evict(&mut index, 0.0);
        }
        let mut index = self.index();
        index.loaded = true;
        info!(
            segments = index.held.len(),
            bytes = index.bytes,
            spoilt = index.counts.spoilt,
            "recorded segments read"
        );
        drop(index);
        self.ready.notify_all();
    }

    /// Takes a segment in, or says why it is left out.
    pub fn take(&self, bytes: &[u8], now: u64) -> Result<Option<LeftOut>, RingError> {
        let segment = Segment::decode(bytes).inspect_err(|bad| {
            let counts = &mut self.index().counts;
            match bad {
                BadSegment::Invalid { .. } | BadSegment::TooLong { .. } | BadSegment::Swells => {
                    counts.invalid += 1
                }
                _ => counts.torn += 1,
            }
        })?;
        let (now, keep, end) = (now as f64, self.keep_ms as f64, segment.span_ms.1);
        let mut index = self.index();
        if end > now + AHEAD_MS {
            index.counts.ahead += 1;
            return Err(RingError::Ahead((end - now) as u64));
        }
        let kept = Kept::of(index.next, bytes.len() as u64, &segment);
        if index.known.contains(&kept.key()) {
            index.counts.repeated += 1;
            return Ok(Some(LeftOut::Repeated));
        }
        if end < now - keep {
            index.counts.late += 1;
            return Ok(Some(LeftOut::Late));
        }
        index.next += 1;
        drop(index);
        // Only this thread writes; who reads the index meanwhile does not see the file yet.
        let (path, temporary) = (self.path(kept.file), self.dir.join("segment.tmp"));
        fs::write(&temporary, bytes)?;
        fs::rename(&temporary, &path)?;
        let mut index = self.index();
        index.add(kept);
        self.evict(&mut index, now - keep);
        Ok(None)
    }

    /// The oldest go until the others fit; those that end before `oldest` go too.
    fn evict(&self, index: &mut Index, oldest: f64) {
        while let Some(kept) = index.held.front() {
            let fits = index.bytes <= self.most_bytes && index.held.len() <= MAX_SEGMENTS;
            if fits && kept.span_ms.1 >= oldest {
                return;
            }
            let Some(kept) = index.held.pop_front() else { return };
            index.bytes -= kept.bytes;
            index.known.remove(&kept.key());
            index.counts.aged_out += 1;
            if let Err(e) = fs::remove_file(self.path(kept.file)) {
                warn!(error = %e, file = kept.file, "a segment stays on the disk");
            }
        }
    }

    /// The segments of the last `span_ms` with so many recorded requests, or none once cancelled. Waits until they are
    /// read.
    pub fn newest(&self, span_ms: f64, most: usize, cancelled: &dyn Fn() -> bool) -> Option<Vec<Segment>> {
        let index = self.index();
        let index = self.ready.wait_while(index, |index| !index.loaded).unwrap_or_else(|p| p.into_inner());
        let mut held: Vec<(f64, usize, u64)> =
            index.held.iter().map(|kept| (kept.span_ms.1, kept.traces, kept.file)).collect();
        drop(index);
        held.sort_by(|a, b| b.0.total_cmp(&a.0));
        let (mut segments, mut total) = (Vec::new(), 0);
        let oldest = held.first().map_or(0.0, |(end, ..)| end - span_ms - BEFORE_MS);
        for (end, traces, file) in held {
            total += traces;
            if end < oldest || total > most && !segments.is_empty() {
                break;
            }
            if cancelled() {
                return None;
            }
            // One that has gone meanwhile to make room is a gap like any other.
            let read = fs::read(self.path(file)).ok().and_then(|bytes| Segment::decode(&bytes).ok());
            segments.extend(read);
        }
        segments.sort_by(|a, b| (&a.name, a.generation, a.number).cmp(&(&b.name, b.generation, b.number)));
        Some(segments)
    }

    /// What is held.
    pub fn page(&self) -> RingPage {
        self.index().page(self.most_bytes)
    }
}
