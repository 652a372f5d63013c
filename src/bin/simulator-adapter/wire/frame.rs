//! Reads frames: a simulated time, and the encoded records that are due then.

use super::reader::Reader;
use crate::error::Error;
use std::io::Read;

/// Length of a frame's header, in bytes: the count of records, the length of what follows that length, and the clock.
pub(super) const HEADER_LENGTH: usize = 16;
/// Length of the clock, in bytes. The length in the header counts the clock as well as the records.
const CLOCK_LENGTH: usize = 8;

/// Frame whose records are not decoded yet.
pub struct Frame {
    /// Simulated time of the frame, in ms.
    pub now_ms: f64,
    /// Number of records in the frame.
    pub count: u32,
    /// Encoded records of the frame.
    pub body: Vec<u8>,
}

/// Reads a frame, or `None` at the end of input. Input that ends within a frame is an error.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, Error> {
    let mut header = Vec::with_capacity(HEADER_LENGTH);
    input.by_ref().take(HEADER_LENGTH as u64).read_to_end(&mut header).map_err(Error::ReadFrame)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_LENGTH {
        return Err(Error::TruncatedHeader { read: header.len(), expected: HEADER_LENGTH });
    }
    let mut reader = Reader { bytes: &header, position: 0, frame_offset: 0 };
    let count = reader.u32("count")?;
    let length = reader.u32("length")? as usize;
    let now_ms = reader.f64("clock")?;
    let Some(length) = length.checked_sub(CLOCK_LENGTH) else {
        return Err(Error::LengthWithoutClock(length));
    };
    let mut body = Vec::new();
    input.by_ref().take(length as u64).read_to_end(&mut body).map_err(Error::ReadFrame)?;
    if body.len() < length {
        return Err(Error::TruncatedRecords { read: body.len(), expected: length });
    }
    Ok(Some(Frame { now_ms, count, body }))
}
