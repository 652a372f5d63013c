//! Bytes of a client's stream that were read before the HTTP library requested them.

use crate::body::{BufferBudget, BufferReservation, MAX_BODY_BYTES, append};
use std::io;
use std::rc::Rc;
use tokio::net::tcp::OwnedReadHalf;

/// Size in bytes of one read into the read-ahead buffer.
const READ_CHUNK: usize = 4096;

/// Most bytes that are kept.
const MAX_KEPT_BYTES: usize = 16 * 1024;

/// Most bytes that one check reads and discards, so that no client can occupy the thread.
const MAX_DISCARDED_PER_CHECK: u64 = 1 << 20;

/// Bytes that were read before the HTTP library requested them. More than one chunk is charged to the buffer budget.
pub(super) struct UnparsedBytes {
    /// The bytes that were read, in order.
    kept: Vec<u8>,
    budget: Rc<BufferBudget>,
    permit: Option<BufferReservation>,
    /// Number of bytes that followed those that are kept and were discarded.
    pub(super) discarded: u64,
    /// The end of the stream or its error, once reached.
    pub(super) end: Option<io::Result<()>>,
}

impl UnparsedBytes {
    /// Creates a buffer of the bytes that were read first, which is charged to `budget`.
    pub(super) fn new(first_bytes: Vec<u8>, budget: Rc<BufferBudget>) -> Self {
        UnparsedBytes { kept: first_bytes, budget, permit: None, discarded: 0, end: None }
    }

    /// Reads the available bytes up to the limit of the read-ahead buffer. With `discards`, reads and discards
    /// further bytes up to the limit of one check. Returns whether all available bytes were read without reaching
    /// the end of the stream.
    ///
    /// A client could keep sending after its request; after [`MAX_BODY_BYTES`] discarded bytes the stream counts as
    /// ended.
    pub(super) fn fill(&mut self, stream: &OwnedReadHalf, discards: bool) -> bool {
        let mut chunk = [0; READ_CHUNK];
        let max_discarded = self.discarded + MAX_DISCARDED_PER_CHECK;
        while self.end.is_none() {
            let may_keep = self.may_keep_more();
            let may_discard = discards && self.is_full() && self.discarded < max_discarded;
            if !may_keep && !may_discard {
                break;
            }
            match stream.try_read(&mut chunk) {
                Ok(0) => self.end = Some(Ok(())),
                Ok(n) if may_keep => append(&mut self.kept, &chunk[..n]),
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

    /// Returns whether another chunk may be kept, and reserves memory for it.
    fn may_keep_more(&mut self) -> bool {
        if self.is_full() {
            return false;
        }
        if !self.kept.is_empty() && self.permit.is_none() {
            self.permit = self.budget.reserve_read_ahead(MAX_KEPT_BYTES);
        }
        self.kept.is_empty() || self.permit.is_some()
    }

    /// Returns whether the most bytes are kept, or some were discarded.
    fn is_full(&self) -> bool {
        self.discarded > 0 || self.kept.len() + READ_CHUNK > MAX_KEPT_BYTES
    }

    /// Returns whether no byte is kept.
    pub(super) fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Gives the oldest kept bytes to `take`, which returns how many it took.
    pub(super) fn take_with(&mut self, take: impl FnOnce(&[u8]) -> usize) -> usize {
        let taken = take(&self.kept);
        self.kept.drain(..taken);
        if self.kept.is_empty() {
            self.kept = Vec::new();
            self.permit = None;
        }
        taken
    }

    /// Returns the number of bytes that were read, kept or discarded.
    pub(super) fn count(&self) -> u64 {
        self.kept.len() as u64 + self.discarded
    }
}
