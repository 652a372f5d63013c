//! A body whose sender must keep a [`RateFloor`].
//!
//! Only the time in which the proxy waits for the sender counts against it; time in which the proxy does not read
//! the body does not.

use super::buffer_budget::BufferReservation;
use super::rate_floor::{BACKEND_RATE_FLOOR, CLIENT_RATE_FLOOR, OVERDUE_RATE_FLOOR, RateFloor};
use super::receive_progress::ReceiveProgress;
use super::turn::Turn;
use super::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

/// Longest time for which the rest of a rejected body is read before the connection closes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Step in which the buffer of a body grows, in bytes.
const GROWTH_STEP_BYTES: usize = 4096;

/// When a body that is passed on counts as too late.
#[derive(Clone, Copy)]
pub enum Lateness {
    /// Never: of a body over [`MAX_BUFFERED_BODY_BYTES`] only the first bytes are timed.
    Never,
    /// At this time, since the body is a short one.
    At(Instant),
    /// At this time or later, once the sender is below [`OVERDUE_RATE_FLOOR`], unless the body has proved to be long. One
    /// over [`MAX_BODY_BYTES`] never ends.
    UnlessLong(Instant),
}

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
    lateness: Lateness,
    turn: Turn,
    /// Observes a client that sends the body.
    progress: Rc<ReceiveProgress>,
}

impl RateLimitedBody {
    /// Wraps a backend's body of which nothing has been read.
    pub fn of_backend(body: Incoming) -> Self {
        RateLimitedBody::new(body, BACKEND_RATE_FLOOR, Rc::default())
    }

    /// Wraps a client's body of which nothing has been read; `progress` observes it.
    pub fn of_client(body: Incoming, progress: &Rc<ReceiveProgress>) -> Self {
        progress.begin();
        RateLimitedBody::new(body, CLIENT_RATE_FLOOR, progress.clone())
    }

    fn new(body: Incoming, floor: RateFloor, progress: Rc<ReceiveProgress>) -> Self {
        let waited = Duration::ZERO;
        RateLimitedBody {
            body,
            floor,
            received: 0,
            waited,
            current_wait: None,
            lateness: Lateness::Never,
            turn: Turn::default(),
            progress,
        }
    }

    /// Sets when the body counts as too late, after which reads fail.
    pub fn set_lateness(&mut self, lateness: Lateness) {
        self.lateness = lateness;
        // The timeout of the current wait does not include it; the next read begins a wait that does.
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
    /// Fails with `TimedOut` if the sender is below the floor or the body is too late.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        if self.is_late() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        ready!(self.turn.poll_next_piece(cx));
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                self.turn.restart();
                self.progress.wait();
                return self.poll_timeout(cx).map(|()| Err(io::ErrorKind::TimedOut.into()));
            };
            self.end_wait();
            let frame = match frame {
                None => return Poll::Ready(Ok(None)),
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                Some(Ok(frame)) => frame,
            };
            if let Ok(data) = frame.into_data() {
                self.turn.count();
                self.received += data.len() as u64;
                self.progress.receive(data.len());
                return Poll::Ready(Ok(Some(data)));
            }
        }
    }

    /// Begins a wait for the sender unless one has begun, and polls its timeout.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.current_wait.is_none() {
            let timeout = self.wait_allowed(self.floor).min(self.wait_until_late());
            self.current_wait = Some(Wait { since: Instant::now(), timeout: Box::pin(sleep(timeout)) });
        }
        match &mut self.current_wait {
            Some(wait) => wait.timeout.as_mut().poll(cx),
            None => Poll::Pending,
        }
    }

    /// Returns how long a wait that begins now may take before the sender is below `floor`.
    fn wait_allowed(&self, floor: RateFloor) -> Duration {
        let for_bytes = Duration::from_secs_f64(self.received as f64 / floor.bytes_per_s);
        floor.stall.min((floor.slack + for_bytes).saturating_sub(self.waited))
    }

    /// Returns whether the body is too late, whatever its sender gives.
    fn is_late(&self) -> bool {
        match self.lateness {
            Lateness::Never => false,
            Lateness::At(at) => Instant::now() >= at,
            Lateness::UnlessLong(at) => self.received > MAX_BODY_BYTES && Instant::now() >= at,
        }
    }

    /// Returns how long a wait that begins now may take before the body is too late.
    fn wait_until_late(&self) -> Duration {
        let left = |at: Instant| at.saturating_duration_since(Instant::now());
        match self.lateness {
            Lateness::At(at) => left(at),
            Lateness::UnlessLong(at) if self.received <= MAX_BUFFERED_BODY_BYTES as u64 => {
                left(at).max(self.wait_allowed(OVERDUE_RATE_FLOOR))
            }
            Lateness::Never | Lateness::UnlessLong(_) => Duration::MAX,
        }
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

    /// Appends the body to `buffer` until the buffer exceeds [`MAX_BUFFERED_BODY_BYTES`], or until `permit` cannot grow.
    /// Returns whether the body was read to its end.
    pub async fn read_into(
        &mut self,
        buffer: &mut Vec<u8>,
        permit: &mut BufferReservation,
    ) -> io::Result<bool> {
        while buffer.len() <= MAX_BUFFERED_BODY_BYTES {
            // The rest of a body with a length may be shorter than a piece.
            let rest = self.announced_bytes_left().map(|left| buffer.len() + left as usize);
            if !rest.is_some_and(|rest| permit.covers(rest)) && !permit.cover_next_piece(buffer.len()) {
                return Ok(self.is_complete());
            }
            match self.next().await? {
                Some(data) => append(buffer, &data),
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

impl Drop for RateLimitedBody {
    fn drop(&mut self) {
        self.progress.end();
    }
}

/// Appends `data` to `buffer`, whose capacity stays near its length.
pub fn append(buffer: &mut Vec<u8>, data: &[u8]) {
    if buffer.capacity() - buffer.len() < data.len() {
        buffer.reserve_exact(data.len().next_multiple_of(GROWTH_STEP_BYTES));
    }
    buffer.extend_from_slice(data);
}
