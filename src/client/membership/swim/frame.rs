//! Frame of a datagram: `magic | crc32 of the cluster's name | crc32 of the body | body`, each number a little-endian
//! u32. The format is a contract: proxies of different versions exchange datagrams during a rolling update.

use super::DropReason;

/// Length of the header before the body, in bytes.
pub(super) const HEADER_LENGTH: usize = 12;
const MAGIC: u32 = u32::from_le_bytes(*b"HRM1");

/// Frames a body for the cluster with hash `cluster_hash`.
pub(super) fn frame(body: &[u8], cluster_hash: u32) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(HEADER_LENGTH + body.len());
    for field in [MAGIC, cluster_hash, crc32fast::hash(body)] {
        datagram.extend_from_slice(&field.to_le_bytes());
    }
    datagram.extend_from_slice(body);
    datagram
}

/// Returns the body of a datagram, or the reason to drop it if it is damaged or not of the cluster with hash
/// `cluster_hash`.
pub(super) fn unframe(datagram: &[u8], cluster_hash: u32) -> Result<&[u8], DropReason> {
    let (header, body) = datagram.split_at_checked(HEADER_LENGTH).ok_or(DropReason::Malformed)?;
    let field = |at: usize| header[at..at + 4].iter().rev().fold(0, |sum, &byte| sum << 8 | u32::from(byte));
    let (magic, cluster, checksum) = (field(0), field(4), field(8));
    if magic != MAGIC || checksum != crc32fast::hash(body) {
        return Err(DropReason::Malformed);
    }
    if cluster != cluster_hash {
        return Err(DropReason::OtherCluster);
    }
    Ok(body)
}
