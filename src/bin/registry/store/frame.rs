//! Frames of records on disk: length of the payload (u32 LE), CRC-32 of the payload (u32 LE), payload.

/// Length of a frame's header, in bytes.
const HEADER_BYTES: usize = 8;

/// Encodes a payload as a frame.
pub(super) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(HEADER_BYTES + payload.len());
    framed.extend_from_slice(&u32::try_from(payload.len()).unwrap_or(u32::MAX).to_le_bytes());
    framed.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    framed.extend_from_slice(payload);
    framed
}

/// Returns the payload of the frame at the start of `bytes`, and the frame's length. Returns `None` if the frame is
/// truncated, its payload is longer than `max_payload` bytes, or its checksum does not match.
pub(super) fn unframe(bytes: &[u8], max_payload: usize) -> Option<(&[u8], usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let crc = u32::from_le_bytes(bytes.get(4..HEADER_BYTES)?.try_into().ok()?);
    if length > max_payload {
        return None;
    }
    let end = HEADER_BYTES + length;
    let payload = bytes.get(HEADER_BYTES..end)?;
    (crc32fast::hash(payload) == crc).then_some((payload, end))
}
