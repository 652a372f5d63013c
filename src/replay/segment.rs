//! The encoding of segments for the transfer to the registry and for its disk: a header with a checksum, then the
//! columns of the segment, compressed with deflate. Times are rounded to the microsecond.

use super::Segment;
use super::columns::Columns;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use sha2::{Digest, Sha256};
use std::io::{Read, Write};

/// Maximum size of an encoded segment, in bytes.
pub const MAX_ENCODED: usize = 4 << 20;
/// Maximum size of a decompressed segment, in bytes.
pub const MAX_UNPACKED: u64 = 24 << 20;
/// Maximum number of traces in a segment.
pub const MAX_TRACES: usize = 65_536;
/// Maximum number of attempts in all traces of a segment together.
pub const MAX_ATTEMPTS: usize = 4 * MAX_TRACES;
/// Maximum number of backends in a segment. They take 1.4 MB of it with names of 20 bytes, and 12.6 MB of the
/// `MAX_UNPACKED` bytes with the longest names (computed).
pub const MAX_BACKENDS: usize = 16_384;
/// Maximum length of the name of a proxy, zone, class or backend, in bytes.
pub const MAX_NAME: usize = 256;
/// Maximum length of the settings, in bytes.
pub const MAX_SETTINGS: usize = 64 << 10;
/// Denominator of the sampling rate: [`Segment::sampled`] requests of each `SAMPLED_OF` are sampled.
pub const SAMPLED_OF: u32 = 65_536;

/// First bytes of an encoded segment.
const MAGIC: [u8; 3] = *b"TSR";
/// Version of the encoding.
const VERSION: u8 = 1;
/// Length of the header in bytes: magic (3), version (1), CRC-32 of the compressed columns (4).
const HEADER_BYTES: usize = 8;
/// Maximum duration (ms) in a trace, one hour: no call is in flight for longer.
const MAX_DURATION_MS: f64 = 3_600_000.0;
/// Upper bound (exclusive) of a Unix time in milliseconds.
const UNIX_MS_LIMIT: f64 = 1e14;

/// Why bytes can't be decoded into a segment.
#[derive(thiserror::Error, Debug, Clone, PartialEq)]
pub enum BadSegment {
    /// The encoded segment is longer than [`MAX_ENCODED`].
    #[error(
        "segment of {bytes} bytes, at most {MAX_ENCODED} are taken: have the proxy cut smaller ones (fewer traces each)"
    )]
    TooLong {
        /// Length of the encoded segment.
        bytes: usize,
    },
    /// The header is missing, or it is of another format or version.
    #[error(
        "no segment of version {VERSION}: send what this version's proxies record, or upgrade the older side"
    )]
    UnknownFormat,
    /// The checksum differs: the bytes were truncated or changed in transit.
    #[error("segment is torn (its checksum differs): send it again")]
    ChecksumMismatch,
    /// The segment decompresses to more than `MAX_UNPACKED` bytes.
    #[error(
        "segment unpacks to more than {MAX_UNPACKED} bytes: have the proxy cut smaller ones (fewer traces each)"
    )]
    UnpackedTooLong,
    /// The checksum holds, but the bytes can't be decompressed or deserialized.
    #[error(
        "segment cannot be read though its checksum holds ({0}): upgrade the older of proxy and registry"
    )]
    Undecodable(String),
    /// A field has a value that no proxy can have recorded.
    #[error(
        "segment's `{field}` {reason}: look at the proxy {proxy:?} that made it, its records are not used"
    )]
    Invalid {
        /// Name of the proxy, as the segment gives it.
        proxy: String,
        /// Name of the field in the format.
        field: &'static str,
        /// What is wrong with the value.
        reason: &'static str,
    },
}

impl Segment {
    /// Encodes the segment for [`decode`](Self::decode).
    pub fn encode(&self) -> Vec<u8> {
        let columns = Columns::from_segment(self);
        let plain = postcard::to_stdvec(&columns).unwrap_or_default(); // writes to memory: can't fail
        let mut encoder = DeflateEncoder::new(vec![0; HEADER_BYTES], Compression::default());
        let mut bytes = match encoder.write_all(&plain).and_then(|()| encoder.finish()) {
            Ok(bytes) => bytes,
            Err(_) => vec![0; HEADER_BYTES], // writes to memory: can't fail
        };
        let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
        bytes[..3].copy_from_slice(&MAGIC);
        bytes[3] = VERSION;
        bytes[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes and validates what [`encode`](Self::encode) wrote. Memory is bounded whatever the bytes are.
    pub fn decode(bytes: &[u8]) -> Result<Segment, BadSegment> {
        if bytes.len() > MAX_ENCODED {
            return Err(BadSegment::TooLong { bytes: bytes.len() });
        }
        let Some((header, compressed)) = bytes.split_at_checked(HEADER_BYTES) else {
            return Err(BadSegment::UnknownFormat);
        };
        if header[..3] != MAGIC || header[3] != VERSION {
            return Err(BadSegment::UnknownFormat);
        }
        if header[4..] != crc32fast::hash(compressed).to_le_bytes() {
            return Err(BadSegment::ChecksumMismatch);
        }
        let mut plain = Vec::new();
        let read = DeflateDecoder::new(compressed).take(MAX_UNPACKED + 1).read_to_end(&mut plain);
        read.map_err(|e| BadSegment::Undecodable(e.to_string()))?;
        if plain.len() as u64 > MAX_UNPACKED {
            return Err(BadSegment::UnpackedTooLong);
        }
        let columns: Columns =
            postcard::from_bytes(&plain).map_err(|e| BadSegment::Undecodable(e.to_string()))?;
        let segment = columns.into_segment()?;
        segment.check()?;
        Ok(segment)
    }

    /// Rejects values that no proxy can have recorded. The names and reasons in the errors are part of the registry's
    /// answers.
    pub fn check(&self) -> Result<(), BadSegment> {
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME;
        let is_unix_ms = |ms: f64| (0.0..UNIX_MS_LIMIT).contains(&ms); // false for NaN
        let is_duration = |ms: f64| (0.0..=MAX_DURATION_MS).contains(&ms);
        let (from, to) = self.span_ms;
        let is_backend = |b: &(String, String, String, f64)| {
            is_name(&b.0) && b.1.len() <= MAX_NAME && b.2.len() <= MAX_NAME && b.3.is_finite() && b.3 >= 0.0
        };
        let attempts = || self.traces.iter().flat_map(|t| &t.attempts);
        let checks = [
            ("name", "is empty or too long", is_name(&self.name)),
            ("number", "counts from 1", self.number > 0),
            ("zone", "is too long", self.zone.len() <= MAX_NAME),
            ("settings", "are too long", self.settings.len() <= MAX_SETTINGS),
            ("backends", "are too many", self.backends.len() <= MAX_BACKENDS),
            ("backends", "have a bad name or size", self.backends.iter().all(is_backend)),
            ("span_ms", "is no span of time", is_unix_ms(from) && is_unix_ms(to) && from <= to),
            ("sampled", "is 0 or over 65,536", (1..=SAMPLED_OF).contains(&self.sampled)),
            ("traces", "are too many", self.traces.len() <= MAX_TRACES),
            ("traces", "are more than the requests seen", self.has_at_most_seen_traces()),
            (
                "at_ms",
                "is outside of the span",
                self.traces.iter().all(|t| is_unix_ms(t.at_ms) && t.at_ms <= to + 1.0),
            ),
            ("at_ms", "is out of order", self.traces.is_sorted_by(|a, b| a.at_ms <= b.at_ms)),
            ("patience_ms", "is out of range", self.traces.iter().all(|t| is_duration(t.client_timeout_ms))),
            ("took_ms", "is out of range", self.traces.iter().all(|t| is_duration(t.took_ms))),
            ("tries", "are too many", attempts().count() <= MAX_ATTEMPTS),
            ("backend", "is not in the list", attempts().all(|a| (a.backend as usize) < self.backends.len())),
            ("after_ms", "is out of range", attempts().all(|a| is_duration(a.after_ms))),
            ("wait_ms", "is out of range", attempts().all(|a| is_duration(a.wait_ms))),
        ];
        match checks.into_iter().find(|(_, _, is_valid)| !is_valid) {
            Some((field, reason, _)) => Err(BadSegment::Invalid { proxy: self.name.clone(), field, reason }),
            None => Ok(()),
        }
    }

    /// Whether the traces that arrived in the span are no more than the requests seen in it. Requests that arrived earlier
    /// are counted in the segment of their arrival.
    fn has_at_most_seen_traces(&self) -> bool {
        let arrived = self.traces.iter().filter(|t| t.at_ms >= self.span_ms.0).count() as u64;
        arrived <= self.seen
    }
}

/// Digest of the endpoint list's version and of the segments. The selection has ordered these, so that the digest does not
/// depend on the order in which they arrived.
pub(super) fn digest(list_version: u64, segments: &[&Segment]) -> String {
    let mut hash = Sha256::new();
    hash.update(list_version.to_le_bytes());
    segments.iter().for_each(|s| hash.update(postcard::to_stdvec(s).unwrap_or_default()));
    hash.finalize().iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}
