//! How datagrams are framed.

use super::DropReason;

/// `magic | crc32 of the cluster's name | crc32 of the rest`, each u32 little-endian.
pub(super) const FRAME: usize = 12;
const MAGIC: u32 = u32::from_le_bytes(*b"HRM1");

pub(super) fn frame(body: &[u8], cluster: u32) -> Vec<u8> {
    let mut out = Vec::with_capacity(FRAME + body.len());
    for part in [MAGIC, cluster, crc32fast::hash(body)] {
        out.extend_from_slice(&part.to_le_bytes());
    }
    out.extend_from_slice(body);
    out
}

pub(super) fn unframe(datagram: &[u8], cluster: u32) -> Result<&[u8], DropReason> {
    let (head, body) = datagram.split_at_checked(FRAME).ok_or(DropReason::Malformed)?;
    let part = |n: usize| head[n..n + 4].iter().rev().fold(0, |sum, &byte| sum << 8 | u32::from(byte));
    match [part(0), part(4), part(8)] {
        [MAGIC, _, crc] if crc != crc32fast::hash(body) => Err(DropReason::Malformed),
        [MAGIC, of, _] if of != cluster => Err(DropReason::OtherCluster),
        [MAGIC, _, _] => Ok(body),
        _ => Err(DropReason::Malformed),
    }
}
