//! Bytes of a client's stream that were read before the HTTP library requested them.

use crate::body::{HTTP_BUFFER_BYTES, MAX_BODY_BYTES};
use bytes::BytesMut;
use std::io;
use tokio::net::tcp::OwnedReadHalf;

/// Size in bytes of one read into the read-ahead buffer.
const READ_CHUNK: usize = 4096;

/// Most bytes that one check reads and discards, so that no client can occupy the thread.
const MAX_DISCARDED_PER_CHECK: u64 = 1 << 20;

/// Bytes that were read before the HTTP library requested them.
#[derive(Default)]
pub(super) struct UnparsedBytes {
    /// The bytes that were read, in order.
    pub(super) bytes: BytesMut,
    /// Number of bytes that followed `bytes` and were discarded.
    pub(super) discarded: u64,
    /// The end of the stream or its error, once reached.
    pub(super) end: Option<io::Result<()>>,
}

impl UnparsedBytes {
    /// Reads the available bytes up to the limit of the read-ahead buffer. With `discards`, reads and discards
    /// further bytes up to the limit of one check. Returns whether all available bytes were read without reaching
    /// the end of the stream.
    ///
    /// A client could keep sending after its request; after [`MAX_BODY_BYTES`] discarded bytes the stream counts as
    /// ended.
    pub(super) fn fill(&mut self, stream: &OwnedReadHalf, discards: bool) -> bool {
        let mut chunk = [0; READ_CHUNK];
        let max_discarded = self.discarded + MAX_DISCARDED_PER_CHECK;
        while self.end.is_none() && (!self.is_full() || discards && self.discarded < max_discarded) {
            match stream.try_read(&mut chunk) {
                Ok(0) => self.end = Some(Ok(())),
                Ok(n) if self.discarded == 0 && !self.is_full() => self.bytes.extend_from_slice(&chunk[..n]),
                Ok(n) => self.discarded += n as u64,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) => self.end = Some(Err(error)),
            }
        }
        if self.discarded > MAX_BODY_BYTES {
            self.end = Some(Err(io::ErrorKind::FileTooLarge.into()));
        }
        false
    }

    /// Returns whether nothing more is kept.
    pub(super) fn is_full(&self) -> bool {
        self.bytes.len() >= HTTP_BUFFER_BYTES
    }

    /// Returns the number of bytes that were read, kept or discarded.
    pub(super) fn count(&self) -> u64 {
        self.bytes.len() as u64 + self.discarded
    }
}
