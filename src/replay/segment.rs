//! Segments on the way to the registry and on its disk: columns, since like beside like packs best, then deflate
//! and a checksum. Times are kept to the microsecond.

use super::Segment;
use super::columns::Columns;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use sha2::{Digest, Sha256};
use std::io::{Read, Write};

/// Longest encoded segment, in bytes.
pub const MAX_ENCODED: usize = 4 << 20;
/// Most bytes that a segment may unpack to.
pub const MAX_UNPACKED: u64 = 24 << 20;
/// Most traces of a segment.
pub const MAX_TRACES: usize = 65_536;
/// Most attempts of all its traces together.
pub const MAX_TRIES: usize = 4 * MAX_TRACES;
/// Most backends of a segment: 1.4 MB of it where their names have 20 bytes. With the longest names they take 12.6 MB of
/// what a segment may unpack to (computed).
pub const MAX_BACKENDS: usize = 16_384;
/// Longest name of a proxy, zone, class or backend, in bytes.
pub const MAX_NAME: usize = 256;
/// Longest settings, in bytes.
pub const MAX_SETTINGS: usize = 64 << 10;
/// The part that stands for all of a request's: `sampled` counts in so many.
pub const SAMPLED_OF: u32 = 65_536;

const MAGIC: [u8; 3] = *b"TSR";
const VERSION: u8 = 1;
const HEAD: usize = 8; // magic, version, checksum
const MOST_MS: f64 = 3_600_000.0; // an hour: no call is out for longer
const MOST_UNIX_MS: f64 = 1e14;

/// Why bytes are no segment.
#[derive(thiserror::Error, Debug, Clone, PartialEq)]
pub enum BadSegment {
    /// Too many bytes.
    #[error(
        "segment of {bytes} bytes, at most {MAX_ENCODED} are taken: have the proxy cut smaller ones (fewer traces each)"
    )]
    TooLong {
        /// How many came.
        bytes: usize,
    },
    /// No segment at all, or one of another version.
    #[error(
        "no segment of version {VERSION}: send what this version's proxies record, or upgrade the older side"
    )]
    Unknown,
    /// Cut short or changed on the way.
    #[error("segment is torn (its checksum differs): send it again")]
    Torn,
    /// Unpacks to more than any segment does.
    #[error(
        "segment unpacks to more than {MAX_UNPACKED} bytes: have the proxy cut smaller ones (fewer traces each)"
    )]
    Swells,
    /// Its fields do not follow each other as they should.
    #[error(
        "segment cannot be read though its checksum holds ({0}): upgrade the older of proxy and registry"
    )]
    Garbled(String),
    /// A field says what cannot be.
    #[error(
        "segment's `{field}` {reason}: look at the proxy {proxy:?} that made it, its records are not used"
    )]
    Invalid {
        /// The proxy, by its own word.
        proxy: String,
        /// Which field.
        field: &'static str,
        /// What is wrong.
        reason: &'static str,
    },
}

impl Segment {
    /// The bytes that [`decode`](Self::decode) reads.
    pub fn encode(&self) -> Vec<u8> {
        let columns = Columns::of(self);
        let plain = postcard::to_stdvec(&columns).unwrap_or_default(); // into memory: cannot fail
        let mut pack = DeflateEncoder::new(vec![0; HEAD], Compression::default());
        let mut bytes = match pack.write_all(&plain).and_then(|()| pack.finish()) {
            Ok(bytes) => bytes,
            Err(_) => vec![0; HEAD], // into memory: cannot be
        };
        let sum = crc32fast::hash(&bytes[HEAD..]);
        bytes[..3].copy_from_slice(&MAGIC);
        bytes[3] = VERSION;
        bytes[4..HEAD].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    /// Reads what [`encode`](Self::encode) wrote. Takes bounded memory whatever the bytes are.
    pub fn decode(bytes: &[u8]) -> Result<Segment, BadSegment> {
        if bytes.len() > MAX_ENCODED {
            return Err(BadSegment::TooLong { bytes: bytes.len() });
        }
        let Some((head, packed)) = bytes.split_at_checked(HEAD) else { return Err(BadSegment::Unknown) };
        if head[..3] != MAGIC || head[3] != VERSION {
            return Err(BadSegment::Unknown);
        }
        if head[4..] != crc32fast::hash(packed).to_le_bytes() {
            return Err(BadSegment::Torn);
        }
        let mut plain = Vec::new();
        let read = DeflateDecoder::new(packed).take(MAX_UNPACKED + 1).read_to_end(&mut plain);
        read.map_err(|e| BadSegment::Garbled(e.to_string()))?;
        if plain.len() as u64 > MAX_UNPACKED {
            return Err(BadSegment::Swells);
        }
        let columns: Columns =
            postcard::from_bytes(&plain).map_err(|e| BadSegment::Garbled(e.to_string()))?;
        let segment = columns.rows()?;
        segment.check()?;
        Ok(segment)
    }

    /// Turns down what no proxy can have recorded.
    pub fn check(&self) -> Result<(), BadSegment> {
        let named = |name: &str| !name.is_empty() && name.len() <= MAX_NAME;
        let unix = |ms: f64| (0.0..MOST_UNIX_MS).contains(&ms); // false for NaN
        let time = |ms: f64| (0.0..=MOST_MS).contains(&ms);
        let (from, to) = self.span_ms;
        let listed = |b: &(String, String, String, f64)| {
            named(&b.0) && b.1.len() <= MAX_NAME && b.2.len() <= MAX_NAME && b.3.is_finite() && b.3 >= 0.0
        };
        let tries = || self.traces.iter().flat_map(|t| &t.tries);
        let checks = [
            ("name", "is empty or too long", named(&self.name)),
            ("number", "counts from 1", self.number > 0),
            ("zone", "is too long", self.zone.len() <= MAX_NAME),
            ("settings", "are too long", self.settings.len() <= MAX_SETTINGS),
            ("backends", "are too many", self.backends.len() <= MAX_BACKENDS),
            ("backends", "have a bad name or size", self.backends.iter().all(listed)),
            ("span_ms", "is no span of time", unix(from) && unix(to) && from <= to),
            ("sampled", "is 0 or over 65,536", (1..=SAMPLED_OF).contains(&self.sampled)),
            ("traces", "are too many", self.traces.len() <= MAX_TRACES),
            ("traces", "are more than the requests seen", self.counts_add_up()),
            (
                "at_ms",
                "is outside of the span",
                self.traces.iter().all(|t| unix(t.at_ms) && t.at_ms <= to + 1.0),
            ),
            ("at_ms", "is out of order", self.traces.is_sorted_by(|a, b| a.at_ms <= b.at_ms)),
            ("patience_ms", "is out of range", self.traces.iter().all(|t| time(t.patience_ms))),
            ("took_ms", "is out of range", self.traces.iter().all(|t| time(t.took_ms))),
            ("tries", "are too many", tries().count() <= MAX_TRIES),
            ("backend", "is not in the list", tries().all(|a| (a.backend as usize) < self.backends.len())),
            ("after_ms", "is out of range", tries().all(|a| time(a.after_ms))),
            ("wait_ms", "is out of range", tries().all(|a| time(a.wait_ms))),
        ];
        match checks.into_iter().find(|(_, _, holds)| !holds) {
            Some((field, reason, _)) => Err(BadSegment::Invalid { proxy: self.name.clone(), field, reason }),
            None => Ok(()),
        }
    }

    /// What was carried over from the segment before was counted there.
    fn counts_add_up(&self) -> bool {
        let here = self.traces.iter().filter(|t| t.at_ms >= self.span_ms.0).count() as u64;
        here <= self.seen
    }
}

/// Digest of what was recorded, in whatever order it came, and of the list it is held against.
pub(super) fn digest(list_version: u64, segments: &[&Segment]) -> String {
    let mut hash = Sha256::new();
    hash.update(list_version.to_le_bytes());
    segments.iter().for_each(|s| hash.update(postcard::to_stdvec(s).unwrap_or_default()));
    hash.finalize().iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}
