//! A count of bytes and the time of its last growth.

use tokio::time::Instant;

/// The number of bytes that have arrived on a connection, and when it last grew.
#[derive(Clone, Copy)]
pub struct ByteCount {
    /// Number of bytes.
    pub bytes: u64,
    /// The time at which the number was first seen.
    pub grew_at: Instant,
}

impl ByteCount {
    /// Returns a count that is first seen now.
    pub fn new(bytes: u64) -> Self {
        ByteCount { bytes, grew_at: Instant::now() }
    }

    /// Returns the count after a check that found `bytes`.
    pub fn grown_to(self, bytes: u64) -> Self {
        if bytes == self.bytes { self } else { ByteCount::new(bytes) }
    }
}
