//! Waits for the head of a connection's first request, which stays in the system's buffer until it is complete.
//!
//! A connection without a complete head costs little memory so, and only those with one wait for a slot.

use super::Downstream;
use super::connection::{
    CLOSED_GRACE, FIRST_REQUEST_TIMEOUT, FIRST_REQUEST_TIMEOUT_AT_LIMIT, IdleCloseReason,
};
use super::lingering_close::LingeringClose;
use super::slots::Slot;
use crate::io::{ByteCount, RequestHead};
use hyper::rt::Write;
use hyper_util::rt::TokioIo;
use std::future::{Future, pending, poll_fn};
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Most bytes that are looked at.
const MAX_LOOK_BYTES: usize = 16 * 1024;
/// Pause after a look at an incomplete request, so that one that comes byte by byte is not looked at for each.
const LOOK_AGAIN_DELAY: Duration = Duration::from_millis(2);
/// Interval at which an incomplete request that waits for a slot is looked at.
const WAITING_LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Least time in the system's buffer that counts as waiting.
const LEAST_WAIT: Duration = Duration::from_millis(5);
/// The end of a body in chunks, with or without trailers.
const CHUNKS_END: &[u8] = b"\r\n\r\n";

/// The first request of a connection, as far as it has arrived.
struct FirstRequest<'a> {
    stream: &'a TcpStream,
    head: RequestHead,
    /// Number of bytes that have been looked at.
    seen: usize,
    /// Number of bytes up to the end of the head, once that has arrived.
    head_bytes: usize,
    ends_like_chunks: bool,
}

impl Downstream {
    /// Waits until the head of the first request has arrived, or the library has to answer an error, and then for a
    /// slot. Returns what had arrived then, or `None` after closing a connection that is too slow.
    pub(super) async fn await_first_request(
        &self,
        stream: &mut TcpStream,
        idle_close: &mut watch::Receiver<IdleCloseReason>,
    ) -> Option<(ByteCount, Slot)> {
        let accepted_at = Instant::now();
        let mut request = FirstRequest::new(stream);
        let arrived = tokio::select! {
            biased;
            arrived = request.head_arrived(self.memory.http_buffer_bytes) => arrived,
            () = sleep(FIRST_REQUEST_TIMEOUT) => None,
            () = asked_to_close(idle_close, accepted_at) => None,
        };
        let slot = match arrived {
            Some(_) => self.acquire_slot(&mut request, idle_close).await,
            None => None,
        };
        match (arrived, slot) {
            // One that has not waited is timed from when it is read.
            (Some(arrived), Some(slot)) if arrived.grew_at.elapsed() < LEAST_WAIT => {
                Some((ByteCount::new(0), slot))
            }
            (Some(arrived), Some(slot)) => Some((arrived, slot)),
            _ => {
                close(stream, idle_close).await;
                None
            }
        }
    }

    /// Takes a slot. One whose request has arrived whole does not wait behind those that are incomplete, of which one
    /// that waits too long while connections are short gets none.
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
                () = asked_to_close(idle_close, asked_at), if request.is_incomplete() => return None,
            }
        }
        Some(self.slots.acquire().await)
    }
}

impl<'a> FirstRequest<'a> {
    fn new(stream: &'a TcpStream) -> Self {
        let head = RequestHead::default();
        FirstRequest { stream, head, seen: 0, head_bytes: 0, ends_like_chunks: false }
    }

    /// Waits until a head or `limit` bytes have arrived, or no more can; `None` if the client left before its first
    /// byte.
    async fn head_arrived(&mut self, limit: usize) -> Option<ByteCount> {
        loop {
            let before = self.seen;
            poll_fn(|cx| self.look(cx)).await.ok().filter(|()| self.seen > 0)?;
            let is_full = self.seen >= limit.min(MAX_LOOK_BYTES);
            if self.head.is_complete || is_full || self.seen == before && self.is_read_closed() {
                return Some(ByteCount::new(self.seen as u64));
            }
            // The next bytes make the stream readable again.
            let no_more = || io::Result::<()>::Err(io::ErrorKind::WouldBlock.into());
            let _ = self.stream.try_io(Interest::READABLE, no_more);
            sleep(LOOK_AGAIN_DELAY).await;
        }
    }

    /// Looks at what has arrived without reading it.
    fn look(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; MAX_LOOK_BYTES];
        let mut arrived = ReadBuf::new(&mut bytes);
        ready!(self.stream.poll_peek(cx, &mut arrived))?;
        let arrived = arrived.filled();
        if !self.head.is_complete {
            let after_head = self.head.read(arrived.get(self.seen..).unwrap_or_default());
            self.head_bytes = arrived.len() - after_head;
        }
        self.seen = arrived.len();
        self.ends_like_chunks = arrived.get(self.head_bytes..).unwrap_or_default().ends_with(CHUNKS_END);
        Poll::Ready(Ok(()))
    }

    /// Returns whether the request had arrived whole at the last look, as far as that is known. One that the library
    /// answers with an error counts as whole.
    fn is_whole(&self) -> bool {
        match (self.head.is_complete, self.head.has_encoding, self.head.content_length) {
            (true, true, _) => self.ends_like_chunks,
            (true, false, Some(length)) => (self.seen - self.head_bytes) as u64 >= length,
            _ => true,
        }
    }

    /// Returns whether the request had surely not arrived whole at the last look.
    fn is_incomplete(&self) -> bool {
        !self.is_whole() && (self.seen < MAX_LOOK_BYTES || !self.head.has_encoding)
    }

    /// Waits until the request has arrived whole, or more of it than is looked at.
    async fn whole(&mut self) {
        while !self.is_whole() && self.seen < MAX_LOOK_BYTES {
            sleep(WAITING_LOOK_INTERVAL).await;
            let _ = poll_fn(|cx| self.look(cx)).await;
        }
        if !self.is_whole() {
            pending().await
        }
    }

    fn is_read_closed(&self) -> bool {
        let ready = pin!(self.stream.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

/// Waits until connections are short and this one has waited for too long.
async fn asked_to_close(idle_close: &mut watch::Receiver<IdleCloseReason>, waits_since: Instant) {
    while idle_close.changed().await.is_ok() {
        let is_short = *idle_close.borrow_and_update() == IdleCloseReason::LimitReached;
        if is_short && waits_since.elapsed() > FIRST_REQUEST_TIMEOUT_AT_LIMIT {
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
