//! Waits for the head of a connection's first request. All but its first bytes stay in the system's buffer.
//!
//! A connection without a head costs little memory so, and only those with one, or with a long one, wait for a slot.

use super::Downstream;
use super::activity::{CLOSED_GRACE, FIRST_REQUEST_TIMEOUT, FIRST_REQUEST_TIMEOUT_AT_LIMIT, IdleCloseReason};
use super::lingering_close::LingeringClose;
use super::slots::Slot;
use crate::io::RequestHead;
use crate::refusals::Shortage;
use crate::upstream::deadline_margin;
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use rustix::io::ioctl_fionread;
use std::future::{pending, poll_fn};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use tracing::debug;

/// Most bytes of a first request that are read before it has a slot: most heads are shorter.
const MAX_FIRST_BYTES: usize = 1024;
/// Interval at which an incomplete request that waits for a slot is looked at.
const WAITING_LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Least time in the system's buffer that counts as waiting.
const LEAST_WAIT: Duration = Duration::from_millis(5);
/// Longest time for which an incomplete request waits for a slot while the connection limit is reached.
const INCOMPLETE_WAIT_AT_LIMIT: Duration = Duration::from_millis(250);
/// Longest time for which a whole request waits for a slot.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// The answer to a request that has waited too long.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// The end of a body in chunks, with or without trailers.
const CHUNKS_END: &[u8] = b"\r\n\r\n";

/// The first request of a connection, as far as it has arrived.
struct FirstRequest<'a> {
    stream: &'a TcpStream,
    /// The bytes that were read, in order.
    bytes: Vec<u8>,
    head: RequestHead,
    /// Number of bytes up to the end of the head, once that has arrived.
    head_bytes: usize,
    /// Whether no more can be read.
    has_ended: bool,
}

/// What was read of a first request before it had its slot.
pub(super) struct FirstBytes {
    /// The bytes that were read, in order.
    pub(super) bytes: Vec<u8>,
    /// When they had arrived, if the request has waited since then.
    pub(super) arrived_at: Option<Instant>,
}

impl Downstream {
    /// Waits until the head of the first request has arrived, or its first bytes, and then for a slot. Returns what was
    /// read, or `None` after closing a connection that is too slow.
    pub(super) async fn await_first_request(
        &self,
        stream: &mut TcpStream,
        idle_close: &mut watch::Receiver<IdleCloseReason>,
    ) -> Option<(FirstBytes, Slot)> {
        let accepted_at = Instant::now();
        let mut request = FirstRequest::new(stream);
        let arrived_at = tokio::select! {
            biased;
            arrived_at = request.head_arrived() => arrived_at,
            () = sleep(FIRST_REQUEST_TIMEOUT) => None,
            () = asked_to_close(idle_close, accepted_at, FIRST_REQUEST_TIMEOUT_AT_LIMIT) => None,
        };
        let slot = match arrived_at {
            Some(_) => self.acquire_slot(&mut request, idle_close).await,
            None => None,
        };
        let Some(slot) = slot else {
            debug!("connection closed: {} bytes of its first request came in time", request.bytes.len());
            close(stream, idle_close).await;
            return None;
        };
        let arrived_at = arrived_at.filter(|at| at.elapsed() >= LEAST_WAIT);
        Some((FirstBytes { bytes: request.bytes, arrived_at }, slot))
    }

    /// Takes a slot. One whose request has arrived whole does not wait behind those that are incomplete, and is refused in
    /// its client's time. The others are refused if they wait too long while connections are short.
    async fn acquire_slot(
        &self,
        request: &mut FirstRequest<'_>,
        idle_close: &mut watch::Receiver<IdleCloseReason>,
    ) -> Option<Slot> {
        if !request.is_whole() {
            let asked_at = Instant::now();
            tokio::select! {
                biased;
                slot = self.slots.acquire_for_incomplete() => return Some(slot),
                () = request.whole() => {}
                () = asked_to_close(idle_close, asked_at, INCOMPLETE_WAIT_AT_LIMIT) => {
                    self.refuse(request);
                    return None;
                }
            }
        }
        let slot = timeout(request.longest_wait(), self.slots.acquire()).await;
        if slot.is_err() {
            self.refuse(request);
        }
        slot.ok()
    }

    fn refuse(&self, request: &FirstRequest<'_>) {
        self.counters.refusals().add(Shortage::Slots, 1);
        request.refuse();
    }
}

impl<'a> FirstRequest<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        FirstRequest {
            stream,
            bytes: Vec::new(),
            head: RequestHead::default(),
            head_bytes: 0,
            has_ended: false,
        }
    }

    /// Waits until a head or [`MAX_FIRST_BYTES`] have arrived, or no more can. Returns when that was, or `None` if the
    /// client left before its first byte.
    async fn head_arrived(&mut self) -> Option<Instant> {
        while !self.head.is_complete && !self.is_full() && !self.has_ended {
            self.stream.readable().await.ok()?;
            self.read();
        }
        (!self.bytes.is_empty()).then(Instant::now)
    }

    /// Reads what has arrived, up to the limit.
    fn read(&mut self) {
        let mut chunk = [0; MAX_FIRST_BYTES];
        while !self.is_full() && !self.has_ended {
            match self.stream.try_read(&mut chunk[self.bytes.len()..]) {
                Ok(n) if n > 0 => self.push(&chunk[self.bytes.len()..][..n]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // The library meets the end, or the error, when it reads on.
                Ok(_) | Err(_) => self.has_ended = true,
            }
        }
    }

    fn push(&mut self, arrived: &[u8]) {
        self.bytes.reserve_exact(arrived.len());
        self.bytes.extend_from_slice(arrived);
        if !self.head.is_complete {
            self.head_bytes = self.bytes.len() - self.head.read(arrived);
        }
    }

    /// Answers that the request is refused, which is harmless: none of it was sent on.
    fn refuse(&self) {
        // The client has left if it fails.
        let _ = self.stream.try_write(REFUSAL);
    }

    /// Returns how long the request can wait for a slot, so that its client has an answer in time.
    fn longest_wait(&self) -> Duration {
        let client_timeout = self.head.client_timeout_ms.map(Duration::from_millis);
        let client_timeout = client_timeout.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT);
        client_timeout - deadline_margin(client_timeout)
    }

    fn is_full(&self) -> bool {
        self.bytes.len() >= MAX_FIRST_BYTES
    }

    /// Returns whether the request is known to have arrived whole, or to end here.
    fn is_whole(&self) -> bool {
        let unread = ioctl_fionread(self.stream).unwrap_or(0);
        match (self.head.is_complete, self.head.has_encoding, self.head.content_length) {
            _ if self.has_ended => true,
            (false, ..) => false,
            (true, true, _) => unread == 0 && self.bytes[self.head_bytes..].ends_with(CHUNKS_END),
            (true, false, length) => {
                (self.bytes.len() - self.head_bytes) as u64 + unread >= length.unwrap_or(0)
            }
        }
    }

    /// Waits until the request has arrived whole, as far as that is seen.
    async fn whole(&mut self) {
        while !self.is_whole() {
            sleep(WAITING_LOOK_INTERVAL).await;
            self.read();
        }
    }
}

/// Waits until connections are short and this one has waited for too long.
async fn asked_to_close(
    idle_close: &mut watch::Receiver<IdleCloseReason>,
    waits_since: Instant,
    longest: Duration,
) {
    while idle_close.changed().await.is_ok() {
        let is_short = *idle_close.borrow_and_update() == IdleCloseReason::LimitReached;
        if is_short && waits_since.elapsed() > longest {
            return;
        }
    }
    pending().await
}

/// Closes the connection in two steps, in short if connections are asked to close.
async fn close(stream: &mut TcpStream, idle_close: &mut watch::Receiver<IdleCloseReason>) {
    let closes_at = Instant::now();
    let mut stream = LingeringClose::new(TokioIo::new(stream));
    let asked = async { while idle_close.changed().await.is_ok() && closes_at.elapsed() <= CLOSED_GRACE {} };
    tokio::select! {
        // The client may have left.
        _ = poll_fn(|cx| Pin::new(&mut stream).poll_shutdown(cx)) => {}
        () = asked => {}
    }
}
