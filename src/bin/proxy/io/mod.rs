//! Streams between the HTTP library and the proxy's clients and backends.
//!
//! A [`Watched`] stream observes what the library reads and writes: whether a request was written completely,
//! whether the peer accepts bytes, and the framing headers of a request's head. Its [`Progress`] is shared with the
//! request that uses the connection. [`ClientStream`] also detects that a client has left; [`Outgoing`] is the body
//! of a request that is written to a backend.

mod byte_count;
mod client;
mod outgoing;
mod request_head;
mod unparsed_bytes;

pub use byte_count::ByteCount;
pub use client::{Client, ClientStream};
pub use outgoing::Outgoing;
pub use request_head::RequestHead;

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

/// Time without progress after which a write to a client fails. A system tells of room only once a third of its buffer is
/// free, or a sixteenth of its peer's: up to 2 MB, which a slow client takes in half a minute.
const CLIENT_WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without progress after which a write to a backend fails.
///
/// A write to a machine that stops responding without resetting its connections would stay pending for minutes. Shorter
/// deadlines end the attempt before this timeout.
const BACKEND_WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Size in bytes of one read while a request's head is observed.
const HEAD_CHUNK: usize = 4096;

/// How much of the request on a connection has been read or written.
#[derive(Default)]
pub struct Progress {
    /// Whether the HTTP library has taken the last chunk of the body.
    body_taken: Cell<bool>,
    /// Whether a byte of the request has been written.
    has_begun: Cell<bool>,
    /// Whether the last byte of the request has been written.
    is_flushed: Cell<bool>,
    is_abandoned: Cell<bool>,
    abandoned: Notify,
    /// Number of requests that were written completely on all connections that share this count.
    completed_requests: Rc<Cell<u64>>,
    /// The head that is being read, or the last one that was read.
    head: RefCell<Option<RequestHead>>,
    /// Number of bytes read from the stream.
    bytes_read: Rc<Cell<u64>>,
    /// Number of bytes read up to the end of the last head.
    head_ends_at: Cell<Option<u64>>,
}

impl Progress {
    /// Resets the write progress for a new request.
    pub fn begin(&self) {
        self.body_taken.set(false);
        self.has_begun.set(false);
        self.is_flushed.set(false);
    }
    /// Treats the next bytes that are read as the head of a request.
    pub fn await_head(&self) {
        self.head.replace(Some(RequestHead::default()));
        self.head_ends_at.set(None);
    }
    /// Stops to observe the bytes that are read: where the next head begins is not known.
    pub fn ignore_heads(&self) {
        self.head.replace(None);
        self.head_ends_at.set(None);
    }
    /// Takes the position in the stream of the first byte after the last head, if the head was observed.
    pub fn take_head_end(&self) -> Option<u64> {
        self.head_ends_at.take()
    }
    /// Returns whether the last head that was read has both a `Content-Length` and a `Transfer-Encoding`.
    pub fn has_conflicting_framing(&self) -> bool {
        self.head
            .borrow()
            .as_ref()
            .is_some_and(|head| head.is_complete && head.has_length && head.has_encoding)
    }
    /// Returns whether the request's last byte was written to the socket.
    ///
    /// The HTTP library flushes a stream only once all its buffered bytes are written, and it has taken the whole
    /// body by then.
    pub fn is_written(&self) -> bool {
        self.is_flushed.get()
    }
    /// Fails all further writes, including those of bytes that the HTTP library has buffered, so that an incomplete
    /// request stays incomplete.
    pub fn abandon(&self) {
        self.is_abandoned.set(true);
        self.abandoned.notify_one();
    }
    /// Waits until writing was abandoned. Only the task of the connection may wait.
    pub async fn abandoned(&self) {
        while !self.is_abandoned() {
            self.abandoned.notified().await;
        }
    }
    /// Returns whether the HTTP library has taken the whole request.
    pub fn is_taken(&self) -> bool {
        self.body_taken.get()
    }
    /// Returns whether writing was abandoned.
    pub fn is_abandoned(&self) -> bool {
        self.is_abandoned.get()
    }
}

/// A stream that observes what is read from it and written to it.
pub struct Watched<S> {
    stream: S,
    progress: Rc<Progress>,
    /// Time without progress after which a write fails.
    stalls_after: Duration,
    /// The timeout of a write that makes no progress.
    stall_timeout: Option<Pin<Box<Sleep>>>,
    /// Function that returns whether the stream is open with no unread bytes; called before a request's first byte
    /// is written.
    is_quiet: Option<fn(&S) -> bool>,
}

impl<S> Watched<S> {
    /// Wraps a client's stream to observe it; the stream itself counts the bytes that are read from it in `bytes_read`.
    pub fn observing(stream: S, bytes_read: Rc<Cell<u64>>) -> Self {
        let progress = Rc::new(Progress { bytes_read, ..Progress::default() });
        let stalls_after = CLIENT_WRITE_STALL_TIMEOUT;
        Watched { stream, progress, stalls_after, stall_timeout: None, is_quiet: None }
    }

    /// Wraps a backend's stream and counts the requests that are written completely in `completed_requests`. A request's
    /// first byte is written only if `is_quiet` returns true.
    ///
    /// A backend may close an idle connection, or write an unsolicited response to it, just before a request is
    /// written. The request would end with a reset, after which it may have run. If it was not begun, it can be
    /// sent to another backend.
    pub fn counting(stream: S, completed_requests: Rc<Cell<u64>>, is_quiet: fn(&S) -> bool) -> Self {
        let progress = Rc::new(Progress { completed_requests, ..Progress::default() });
        let stalls_after = BACKEND_WRITE_STALL_TIMEOUT;
        Watched { stream, progress, stalls_after, stall_timeout: None, is_quiet: Some(is_quiet) }
    }

    /// Returns the observed progress, shared with the request on the connection.
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    /// Fails if writing was abandoned, or if the stream is not quiet before a request's first byte.
    fn may_write(&self) -> io::Result<()> {
        let begins = !self.progress.has_begun.get();
        let broken = self.is_quiet.is_some_and(|is_quiet| begins && !is_quiet(&self.stream));
        if broken || self.progress.is_abandoned.get() {
            Err(io::ErrorKind::ConnectionAborted.into())
        } else {
            Ok(())
        }
    }

    /// Records the result of a write; a pending write fails without progress for `stalls_after`.
    fn record_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_pending() {
            let timeout = self.stall_timeout.get_or_insert_with(|| Box::pin(sleep(self.stalls_after)));
            return timeout.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()));
        }
        self.stall_timeout = None;
        if let Poll::Ready(Ok(1..)) = result {
            self.progress.has_begun.set(true);
        }
        result
    }
}

impl<S: Read + Unpin> Read for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut head = this.progress.head.borrow_mut();
        let Some(head) = head.as_mut().filter(|head| !head.is_complete) else {
            return Pin::new(&mut this.stream).poll_read(cx, buf);
        };
        let mut bytes = [0; HEAD_CHUNK];
        let mut chunk = ReadBuf::new(&mut bytes[..buf.remaining().min(HEAD_CHUNK)]);
        let read = Pin::new(&mut this.stream).poll_read(cx, chunk.unfilled());
        let after_head = head.read(chunk.filled()) as u64;
        if head.is_complete {
            this.progress.head_ends_at.set(this.progress.bytes_read.get().checked_sub(after_head));
        }
        buf.put_slice(chunk.filled());
        read
    }
}

impl<S: Write + Unpin> Write for Watched<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.may_write()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.may_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = &self.progress;
        if progress.has_begun.get() && progress.body_taken.get() && !progress.is_flushed.replace(true) {
            progress.completed_requests.update(|count| count + 1);
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/io.rs"]
mod tests;
