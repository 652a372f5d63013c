//! Frames: a clock, and the bytes of the records that are due at it.

use super::reader::Reader;
use std::io::{self, Read};

/// Bytes before a frame's records: their count, the length of what follows, and the clock.
pub(super) const HEADER_LENGTH: usize = 16;
/// Bytes of the clock, which the length counts with the records.
const CLOCK_LENGTH: usize = 8;

/// A frame with its records undecoded.
pub struct Frame {
    /// The clock, ms.
    pub now_ms: f64,
    /// The number of its records.
    pub count: u32,
    /// The bytes of its records.
    pub body: Vec<u8>,
}

/// Reads a frame; `None` at the end of input. Input that ends within a frame is an error.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, String> {
    let failed = |e: io::Error| format!("frame: {e}");
    let mut header = Vec::with_capacity(HEADER_LENGTH);
    input.by_ref().take(HEADER_LENGTH as u64).read_to_end(&mut header).map_err(failed)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_LENGTH {
        return Err(format!("frame: truncated in its header, {} of {HEADER_LENGTH} bytes", header.len()));
    }
    let mut reader = Reader { bytes: &header, at: 0, start: 0 };
    let count = reader.u32("count")?;
    let length = reader.u32("length")? as usize;
    let now_ms = reader.f64("clock")?;
    let Some(length) = length.checked_sub(CLOCK_LENGTH) else {
        return Err(format!("frame: byte 4: length {length} is shorter than the clock"));
    };
    let mut body = Vec::new();
    input.by_ref().take(length as u64).read_to_end(&mut body).map_err(failed)?;
    if body.len() < length {
        return Err(format!("frame: truncated, {} of {length} bytes after the header", body.len()));
    }
    Ok(Some(Frame { now_ms, count, body }))
}
