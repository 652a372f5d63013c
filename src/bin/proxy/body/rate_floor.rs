//! A body whose sender must keep a minimum rate.
//!
//! Only the time in which the proxy waits for the sender counts against it; time in which the proxy does not read
//! the body does not.

use super::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// Longest time for which the rest of a rejected body is read before the connection closes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum rate of a body's sender.
#[derive(Clone, Copy)]
pub struct RateFloor {
    /// Longest time for which the sender may send nothing.
    pub stall: Duration,
    /// Total time for which the proxy may wait for the sender, in addition to the time that the received bytes earn.
    pub slack: Duration,
    /// Received bytes that add one second to the slack.
    pub bytes_per_s: f64,
}

/// The minimum rate of a client that sends a request body.
///
/// A client that stops in the middle of its request would hold a connection and memory. Its request ends 2 s after
/// the last received byte, or once the slack is used up; well-behaved clients send 64 kB per second. The client's
/// deadline does not apply before the last byte, so that no setting affects this.
pub const CLIENT_RATE_FLOOR: RateFloor =
    RateFloor { stall: Duration::from_secs(2), slack: Duration::from_secs(5), bytes_per_s: 16_000.0 };
/// The minimum rate of a backend's response body. A long response is passed on as long as it keeps this rate.
pub const BACKEND_RATE_FLOOR: RateFloor =
    RateFloor { stall: Duration::from_secs(10), slack: Duration::from_secs(60), bytes_per_s: 1000.0 };

/// A wait for the sender that has not ended.
struct Wait {
    since: Instant,
    timeout: Pin<Box<Sleep>>,
}

/// A body with a minimum rate, which tracks how long the proxy has waited for its sender.
pub struct RateLimitedBody {
    body: Incoming,
    floor: RateFloor,
    /// Number of bytes received.
    received: u64,
    /// Sum of the completed waits.
    waited: Duration,
    current_wait: Option<Wait>,
    deadline: Option<Instant>,
}

impl RateLimitedBody {
    /// Wraps a body of which nothing has been read.
    pub fn new(body: Incoming, floor: RateFloor) -> Self {
        let waited = Duration::ZERO;
        RateLimitedBody { body, floor, received: 0, waited, current_wait: None, deadline: None }
    }

    /// Sets a deadline after which reads fail, whatever the rate.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
        // The current wait has a timeout without the deadline; the next read begins a wait that includes it.
        self.end_wait();
    }

    /// Returns the number of bytes still to be received, if the length is known.
    pub fn announced_bytes_left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the number of bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Returns whether the last byte has been received.
    pub fn is_complete(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Polls for the next chunk of data, which is `None` at the end. Trailers are skipped.
    ///
    /// Fails with `TimedOut` if the sender is below the floor or the deadline has passed.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        let left = self.deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                return self.poll_timeout(cx, left).map(|()| Err(io::ErrorKind::TimedOut.into()));
            };
            self.end_wait();
            let frame = match frame {
                None => return Poll::Ready(Ok(None)),
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                Some(Ok(frame)) => frame,
            };
            if let Ok(data) = frame.into_data() {
                self.received += data.len() as u64;
                return Poll::Ready(Ok(Some(data)));
            }
        }
    }

    /// Begins a wait for the sender unless one has begun, and polls its timeout. `left` is the time to the deadline.
    fn poll_timeout(&mut self, cx: &mut Context<'_>, left: Option<Duration>) -> Poll<()> {
        let for_bytes = Duration::from_secs_f64(self.received as f64 / self.floor.bytes_per_s);
        let allowed = (self.floor.slack + for_bytes).saturating_sub(self.waited);
        let by_rate = self.floor.stall.min(allowed);
        let timeout = left.map_or(by_rate, |left| by_rate.min(left));
        let wait = self
            .current_wait
            .get_or_insert_with(|| Wait { since: Instant::now(), timeout: Box::pin(sleep(timeout)) });
        wait.timeout.as_mut().poll(cx)
    }

    fn end_wait(&mut self) {
        if let Some(wait) = self.current_wait.take() {
            self.waited += wait.since.elapsed();
        }
    }

    /// Returns the next chunk of data, `None` at the end. Fails as [`Self::poll_next`] does.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Appends the body to `buffer` until the buffer exceeds [`MAX_BUFFERED_BODY_BYTES`]. Returns whether the body
    /// was read to its end.
    pub async fn read_into(&mut self, buffer: &mut BytesMut) -> io::Result<bool> {
        while buffer.len() <= MAX_BUFFERED_BODY_BYTES {
            match self.next().await? {
                Some(data) => buffer.extend_from_slice(&data),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Reads and discards the rest of the body for at most 5 s.
    ///
    /// A connection that closes with unread data is reset, and a sender that is still writing would not receive the
    /// response.
    pub async fn drain(mut self) {
        let read_all = async { while let Ok(Some(_)) = self.next().await {} };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, read_all).await;
    }
}
