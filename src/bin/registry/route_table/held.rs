//! What is known of the held segments without reading them, and what operators see of it.

use load_balancer::replay::Segment;
use serde::Serialize;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// What was left out or went since the start.
#[derive(Serialize, Clone, Copy, Debug, Default)]
pub struct Counts {
    pub(super) torn: u64,
    pub(super) invalid: u64,
    pub(super) late: u64,
    pub(super) ahead: u64,
    pub(super) repeated: u64,
    /// Spoilt on disk, found at the start.
    pub(super) spoilt: u64,
    /// Gone to make room, or for their age.
    pub(super) aged_out: u64,
}

/// What is known of a held segment without reading it.
pub struct Kept {
    pub(super) file: u64,
    pub(super) bytes: u64,
    pub(super) name: String,
    pub(super) generation: u64,
    pub(super) number: u64,
    pub(super) span_ms: (f64, f64),
    pub(super) seen: u64,
    pub(super) dropped: u64,
    pub(super) traces: usize,
}

impl Kept {
    /// Of a segment in a file.
    pub fn of(file: u64, bytes: u64, segment: &Segment) -> Kept {
        Kept {
            file,
            bytes,
            name: segment.name.clone(),
            generation: segment.generation,
            number: segment.number,
            span_ms: segment.span_ms,
            seen: segment.seen,
            dropped: segment.dropped,
            traces: segment.traces.len(),
        }
    }

    /// Which of which process.
    pub fn key(&self) -> (String, u64, u64) {
        (self.name.clone(), self.generation, self.number)
    }
}

/// All of it.
#[derive(Default)]
pub struct Index {
    pub(super) loaded: bool,
    pub(super) next: u64,
    pub(super) held: VecDeque<Kept>,
    pub(super) known: HashSet<(String, u64, u64)>,
    pub(super) bytes: u64,
    pub(super) counts: Counts,
}

impl Index {
    /// One more is held.
    pub fn add(&mut self, kept: Kept) {
        self.bytes += kept.bytes;
        self.known.insert(kept.key());
        self.held.push_back(kept);
    }

    /// What is held.
    pub fn page(&self, most_bytes: u64) -> RingPage {
        let held = &self.held;
        let mut numbers: BTreeMap<(&str, u64), (u64, u64, u64)> = BTreeMap::new();
        for kept in held {
            let of = numbers.entry((&kept.name, kept.generation)).or_insert((kept.number, kept.number, 0));
            *of = (of.0.min(kept.number), of.1.max(kept.number), of.2 + 1);
        }
        let missing = numbers.values().map(|(first, last, count)| (last - first).saturating_sub(count - 1));
        let missing = total(missing);
        let proxies: HashSet<&str> = numbers.keys().map(|(name, _)| *name).collect();
        let span = held.iter().map(|kept| kept.span_ms).reduce(|a, b| (a.0.min(b.0), a.1.max(b.1)));
        let due = (held.len() as u64).saturating_add(missing);
        RingPage {
            loaded: self.loaded,
            segments: held.len(),
            bytes: self.bytes,
            most_bytes,
            proxies: proxies.len(),
            seen: total(held.iter().map(|kept| kept.seen)),
            recorded: total(held.iter().map(|kept| kept.traces as u64)),
            dropped: total(held.iter().map(|kept| kept.dropped)),
            missing,
            coverage: if due > 0 { held.len() as f64 / due as f64 } else { 0.0 },
            span_ms: span,
            left_out: self.counts,
        }
    }
}

/// A sum of what proxies say, however large.
fn total(counts: impl Iterator<Item = u64>) -> u64 {
    counts.fold(0, u64::saturating_add)
}

/// What is held, for operators.
#[derive(Serialize)]
pub struct RingPage {
    loaded: bool,
    segments: usize,
    bytes: u64,
    most_bytes: u64,
    proxies: usize,
    /// Requests that the proxies saw in the spans, and of them recorded ones, and sampled ones without room.
    seen: u64,
    recorded: u64,
    dropped: u64,
    /// Segments that are missing among the numbers of those that are held.
    missing: u64,
    /// The part of them that is held.
    coverage: f64,
    /// First and last arrival that they can hold, by the proxies' clocks.
    span_ms: Option<(f64, f64)>,
    left_out: Counts,
}
