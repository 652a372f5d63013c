//! The in-memory index of the stored segments, and the operators' page of it.

use load_balancer::replay::Segment;
use serde::Serialize;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Counts of the segments that were rejected, skipped or removed since the start.
#[derive(Serialize, Clone, Copy, Debug, Default)]
pub(super) struct SegmentCounts {
    /// Number of segments that were cut short or whose checksum did not match.
    pub(super) torn: u64,
    /// Number of segments with invalid contents or above a length limit.
    pub(super) invalid: u64,
    /// Number of segments that were older than segments are kept.
    pub(super) late: u64,
    /// Number of segments that ended after this registry's clock.
    pub(super) ahead: u64,
    /// Number of segments that were stored already.
    pub(super) repeated: u64,
    /// Number of segments that were unreadable on disk at the start.
    #[serde(rename = "spoilt")]
    pub(super) corrupt: u64,
    /// Number of segments that were removed for their age or to make room for newer ones.
    pub(super) aged_out: u64,
}

/// The identity of a segment: the proxy, the process's generation and the segment's number within it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct SegmentKey {
    proxy: String,
    generation: u64,
    number: u64,
}

/// The description of a stored segment, without its requests.
pub(super) struct SegmentInfo {
    /// Number in the segment's file name.
    pub(super) file: u64,
    /// Length of the segment on disk, in bytes.
    pub(super) bytes: u64,
    /// Identity of the segment.
    pub(super) key: SegmentKey,
    /// First and last arrival time that the segment can hold, in milliseconds by the proxy's clock.
    pub(super) span_ms: (f64, f64),
    /// Number of requests that the proxy saw in the span.
    seen: u64,
    /// Number of requests that were sampled but not recorded, since the proxy's buffer was full.
    dropped: u64,
    /// Number of requests that the segment holds.
    pub(super) traces: usize,
}

impl SegmentInfo {
    /// Describes a segment that is stored in a file.
    pub(super) fn new(file: u64, bytes: u64, segment: &Segment) -> SegmentInfo {
        let key = SegmentKey {
            proxy: segment.name.clone(),
            generation: segment.generation,
            number: segment.number,
        };
        SegmentInfo {
            file,
            bytes,
            key,
            span_ms: segment.span_ms,
            seen: segment.seen,
            dropped: segment.dropped,
            traces: segment.traces.len(),
        }
    }
}

/// The index of the stored segments, oldest first.
#[derive(Default)]
pub(super) struct TraceIndex {
    /// Whether the directory has been read.
    pub(super) loaded: bool,
    /// Number of the next file.
    pub(super) next_file: u64,
    segments: VecDeque<SegmentInfo>,
    keys: HashSet<SegmentKey>,
    bytes: u64,
    /// Counts of the segments that are not stored.
    pub(super) counts: SegmentCounts,
}

impl TraceIndex {
    /// The stored segments, oldest first.
    pub(super) fn segments(&self) -> &VecDeque<SegmentInfo> {
        &self.segments
    }

    /// Total length of the stored segments on disk, in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Whether a segment is in the index.
    pub(super) fn contains(&self, key: &SegmentKey) -> bool {
        self.keys.contains(key)
    }

    /// Adds the newest segment.
    pub(super) fn push(&mut self, segment: SegmentInfo) {
        self.bytes += segment.bytes;
        self.keys.insert(segment.key.clone());
        self.segments.push_back(segment);
    }

    /// Removes and returns the oldest segment.
    pub(super) fn pop_oldest(&mut self) -> Option<SegmentInfo> {
        let segment = self.segments.pop_front()?;
        self.bytes -= segment.bytes;
        self.keys.remove(&segment.key);
        Some(segment)
    }

    /// The operators' page; `max_bytes` is the bound on the total length of the segments.
    pub(super) fn page(&self, max_bytes: u64) -> RingPage {
        let segments = &self.segments;
        let proxies: HashSet<&str> = segments.iter().map(|segment| segment.key.proxy.as_str()).collect();
        let span_ms = segments.iter().map(|segment| segment.span_ms);
        let missing = self.missing();
        let expected = (segments.len() as u64).saturating_add(missing);
        RingPage {
            loaded: self.loaded,
            segments: segments.len(),
            bytes: self.bytes,
            max_bytes,
            proxies: proxies.len(),
            seen: saturating_sum(segments.iter().map(|segment| segment.seen)),
            recorded: saturating_sum(segments.iter().map(|segment| segment.traces as u64)),
            dropped: saturating_sum(segments.iter().map(|segment| segment.dropped)),
            missing,
            coverage: if expected > 0 { segments.len() as f64 / expected as f64 } else { 0.0 },
            span_ms: span_ms.reduce(|a, b| (a.0.min(b.0), a.1.max(b.1))),
            counts: self.counts,
        }
    }

    /// Counts the segments that are missing between the first and the last number of each process.
    fn missing(&self) -> u64 {
        let mut by_process: BTreeMap<(&str, u64), NumberRange> = BTreeMap::new();
        for SegmentInfo { key, .. } in &self.segments {
            let range = by_process.entry((&key.proxy, key.generation)).or_insert(NumberRange {
                first: key.number,
                last: key.number,
                stored: 0,
            });
            range.first = range.first.min(key.number);
            range.last = range.last.max(key.number);
            range.stored += 1;
        }
        let missing =
            by_process.values().map(|range| (range.last - range.first).saturating_sub(range.stored - 1));
        saturating_sum(missing)
    }
}

/// The range of the numbers of one process's stored segments.
struct NumberRange {
    first: u64,
    last: u64,
    stored: u64,
}

/// Sums numbers that proxies sent, which may be of any size, with saturation.
fn saturating_sum(numbers: impl Iterator<Item = u64>) -> u64 {
    numbers.fold(0, u64::saturating_add)
}

/// The operators' page of the stored segments. The order of fields is that of the JSON keys.
#[derive(Serialize)]
pub(crate) struct RingPage {
    loaded: bool,
    segments: usize,
    bytes: u64,
    #[serde(rename = "most_bytes")]
    max_bytes: u64,
    proxies: usize,
    /// Number of requests that the proxies saw in the segments' spans.
    seen: u64,
    /// Number of requests that the segments hold.
    recorded: u64,
    /// Number of requests that were sampled but not recorded.
    dropped: u64,
    /// Number of segments that are missing between the numbers of the stored ones.
    missing: u64,
    /// Stored share of the stored and missing segments.
    coverage: f64,
    /// First and last arrival time that the segments can hold, in milliseconds by the proxies' clocks.
    span_ms: Option<(f64, f64)>,
    #[serde(rename = "left_out")]
    counts: SegmentCounts,
}
