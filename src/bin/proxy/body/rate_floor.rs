//! Minimum rates of the senders of bodies.

use std::time::Duration;

/// The minimum rate of a body's sender.
#[derive(Clone, Copy)]
pub(super) struct RateFloor {
    /// Longest time for which the sender may send nothing.
    pub(super) stall: Duration,
    /// Total time for which the proxy may wait for the sender, in addition to the time that the received bytes earn.
    pub(super) slack: Duration,
    /// Received bytes that add one second to the slack.
    pub(super) bytes_per_s: f64,
}

/// The minimum rate of a client that sends a request body.
///
/// A client that stops in the middle of its request would hold a connection and memory. Its request ends 2 s after
/// the last received byte, or once the slack is used up; well-behaved clients send 64 kB per second. The client's
/// deadline does not apply before the last byte, so that no setting affects this.
pub(super) const CLIENT_RATE_FLOOR: RateFloor =
    RateFloor { stall: Duration::from_secs(2), slack: Duration::from_secs(5), bytes_per_s: 16_000.0 };
/// The minimum rate of a backend's response body. A long response is passed on as long as it keeps this rate.
pub(super) const BACKEND_RATE_FLOOR: RateFloor =
    RateFloor { stall: Duration::from_secs(10), slack: Duration::from_secs(60), bytes_per_s: 1000.0 };

/// The minimum rate of a response that has no length and is overdue, until it proves to be a long one: a quarter of the
/// rate at which slow backends give long responses. With [`Lateness::UnlessLong`](super::Lateness::UnlessLong) after the client's deadline, one that
/// stands still ends before it is half a second late.
pub(super) const OVERDUE_RATE_FLOOR: RateFloor =
    RateFloor { stall: Duration::from_millis(450), slack: Duration::ZERO, bytes_per_s: 16_000.0 };
