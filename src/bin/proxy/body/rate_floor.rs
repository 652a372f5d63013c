//! A body whose sender must keep a minimum rate.
//!
//! The time that counts against the sender is the time in which this program waits for it; time in which the body is
//! not read costs it nothing.

use super::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// How long the rest of a refused body is read before the connection closes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum rate of a body's sender.
#[derive(Clone, Copy)]
pub struct RateFloor {
    /// How long it may send nothing.
    pub stall: Duration,
    /// How long it may be waited for in all, besides what its bytes add.
    pub slack: Duration,
    /// Bytes that add a second to the slack.
    pub bytes_per_s: f64,
}

/// For clients that send a request.
///
/// Failure: a client stops in the middle of its request and holds a connection and memory. It is answered within 3 s of
/// connecting; proper clients send 64 kB a second. No deadline counts before the last byte, so that no setting bears on
/// this.
pub const CLIENT_RATE_FLOOR: RateFloor =
    RateFloor { stall: Duration::from_secs(2), slack: Duration::from_secs(5), bytes_per_s: 16_000.0 };
/// For backends that send a long response, which is passed on however slow it is above this.
pub const BACKEND_RATE_FLOOR: RateFloor =
    RateFloor { stall: Duration::from_secs(10), slack: Duration::from_secs(60), bytes_per_s: 1000.0 };

/// A wait for the sender.
struct Wait {
    since: Instant,
    timeout: Pin<Box<Sleep>>,
}

/// A body, and how long its sender has been waited for.
pub struct RateLimitedBody {
    body: Incoming,
    floor: RateFloor,
    /// Bytes received.
    received: u64,
    /// The sum of the waits that are over.
    waited: Duration,
    current_wait: Option<Wait>,
    deadline: Option<Instant>,
}

impl RateLimitedBody {
    /// A body of which nothing has been read.
    pub fn new(body: Incoming, floor: RateFloor) -> Self {
        let waited = Duration::ZERO;
        RateLimitedBody { body, floor, received: 0, waited, current_wait: None, deadline: None }
    }

    /// Sets a deadline after which reads fail, whatever the rate.
    pub fn end_by(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
        // A wait that has begun has its timeout from before: the next read begins another under the deadline.
        self.end_wait();
    }

    /// The bytes that are still to be received, if the length is known.
    pub fn announced_bytes_left(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// The bytes received.
    pub fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Whether the last byte has been received.
    pub fn is_complete(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Polls for the next piece of data; none at the end. Trailers are skipped.
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

    /// The next piece of data; none at the end. Fails as [`Self::poll_next`].
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Appends the body to `buffer` until it exceeds what is buffered; returns whether it was read to its end.
    pub async fn read_into(&mut self, buffer: &mut BytesMut) -> io::Result<bool> {
        while buffer.len() <= MAX_BUFFERED_BODY_BYTES {
            match self.next().await? {
                Some(data) => buffer.extend_from_slice(&data),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Reads and discards the rest of the body, for 5 s at most.
    ///
    /// Failure: a connection that closes with unread data is reset, and a sender that is still writing never reads its
    /// answer.
    pub async fn drain(mut self) {
        let read_all = async { while let Ok(Some(_)) = self.next().await {} };
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, read_all).await;
    }
}
