//! How well a client gets on with sending the body of its request.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a client may count as slow: several round trips.
const LEAST_TIME: Duration = Duration::from_millis(250);
/// Time without a byte after which a client counts as slow. Clients that write in lumps pause for half a second.
const STALL_TIME: Duration = Duration::from_millis(600);
/// Rate under which a client counts as slow: half of that of the slowest clients that the platform names.
const SLOW_BYTES_PER_S: f64 = 32_000.0;

/// The progress of the body that is received on a client's connection. While connections are short, one that waits for
/// a slow client makes room for others.
#[derive(Default)]
pub struct ReceiveProgress {
    /// The time at which the body was begun to be received; `None` without a body.
    began_at: Cell<Option<Instant>>,
    received_bytes: Cell<u64>,
    /// The time since which the proxy waits for the client.
    waits_since: Cell<Option<Instant>>,
}

impl ReceiveProgress {
    /// Records that a body begins.
    pub fn begin(&self) {
        self.began_at.set(Some(Instant::now()));
        self.received_bytes.set(0);
        self.waits_since.set(None);
    }

    /// Records that the proxy waits for the client.
    pub fn wait(&self) {
        let since = self.waits_since.get().unwrap_or_else(Instant::now);
        self.waits_since.set(Some(since));
    }

    /// Records that so many bytes came.
    pub fn receive(&self, bytes: usize) {
        self.received_bytes.update(|received| received + bytes as u64);
        self.waits_since.set(None);
    }

    /// Records that no more is received of the body.
    pub fn end(&self) {
        self.began_at.set(None);
    }

    /// Returns whether the proxy waits for a client that is slow.
    pub fn waits_for_slow_client(&self) -> bool {
        let (Some(began_at), Some(waits_since)) = (self.began_at.get(), self.waits_since.get()) else {
            return false;
        };
        let time = began_at.elapsed();
        let is_slow = (self.received_bytes.get() as f64) < time.as_secs_f64() * SLOW_BYTES_PER_S;
        waits_since.elapsed() >= STALL_TIME || time >= LEAST_TIME && is_slow
    }
}
