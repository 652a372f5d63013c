//! Streams between the proxy's peers and the HTTP library.
//!
//! A [`Watched`] stream observes what the library reads and writes: whether a request was written completely, whether
//! the peer accepts bytes, and the framing headers of a request's head. Its [`Progress`] is shared with the request that
//! uses the connection. [`ClientStream`] also notices that a client has left, [`Outgoing`] is the body that is written.

mod client;
mod outgoing;
mod request_head;

pub use client::{Client, ClientStream};
pub use outgoing::Outgoing;

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use request_head::RequestHead;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// How long a write may make no progress before it fails.
///
/// Failure: a machine falls silent without resetting its connections, and a write to it stays pending for minutes.
/// Deadlines shorter than this end the attempt or the answer by themselves.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of a head that are read at once.
const HEAD_CHUNK: usize = 4096;

/// How far the request on a connection has been read or written.
#[derive(Default)]
pub struct Progress {
    /// The HTTP library has taken the last of the body.
    body_taken: Cell<bool>,
    /// A byte has been written.
    has_begun: Cell<bool>,
    /// The last byte has been written.
    is_flushed: Cell<bool>,
    is_abandoned: Cell<bool>,
    /// Requests that were written completely, on all connections that share this count.
    completed_requests: Rc<Cell<u64>>,
    /// The head that is being read, or the one that was read last.
    head: RefCell<Option<RequestHead>>,
}

impl Progress {
    /// A new request is about to be written.
    pub fn begin(&self) {
        self.body_taken.set(false);
        self.has_begun.set(false);
        self.is_flushed.set(false);
    }
    /// Expects the next bytes that are read to be those of a request's head.
    pub fn await_head(&self) {
        self.head.replace(Some(RequestHead::default()));
    }
    /// Whether the head that was read last has two framings, a length and an encoding.
    pub fn has_conflicting_framing(&self) -> bool {
        self.head
            .borrow()
            .as_ref()
            .is_some_and(|head| head.is_complete && head.has_length && head.has_encoding)
    }
    /// Whether the request's last byte was written to the socket.
    ///
    /// The HTTP library flushes a stream only once all that it has buffered is written, and by then it has taken the
    /// body.
    pub fn is_written(&self) -> bool {
        self.is_flushed.get()
    }
    /// Ends all writing, also of what the HTTP library has buffered: a request that is incomplete stays so.
    pub fn abandon(&self) {
        self.is_abandoned.set(true);
    }
}

/// A stream that observes what is read from it and written to it.
pub struct Watched<S> {
    stream: S,
    progress: Rc<Progress>,
    /// The timeout of a write that makes no progress.
    stall_timeout: Option<Pin<Box<Sleep>>>,
    /// Whether the peer has sent nothing; read before a request's first byte is written.
    is_quiet: Option<fn(&S) -> bool>,
}

impl<S> Watched<S> {
    /// Observes a stream.
    pub fn new(stream: S) -> Self {
        Watched { stream, progress: Rc::default(), stall_timeout: None, is_quiet: None }
    }

    /// Observes a stream and counts the requests that are written completely in `completed_requests`. A request's first
    /// byte is only written if `is_quiet` holds.
    ///
    /// Failure: a backend closes a kept connection, or answers on it unasked, just before a request is written to it. The
    /// request would end with a reset, after which it may have run. Not begun, it can be sent elsewhere.
    pub fn counting(stream: S, completed_requests: Rc<Cell<u64>>, is_quiet: fn(&S) -> bool) -> Self {
        let progress = Rc::new(Progress { completed_requests, ..Progress::default() });
        Watched { stream, progress, stall_timeout: None, is_quiet: Some(is_quiet) }
    }

    /// What is observed, shared with the request on the connection.
    pub fn progress(&self) -> Rc<Progress> {
        self.progress.clone()
    }

    fn may_write(&self) -> io::Result<()> {
        let begins = !self.progress.has_begun.get();
        let broken = self.is_quiet.is_some_and(|is_quiet| begins && !is_quiet(&self.stream));
        if broken || self.progress.is_abandoned.get() {
            Err(io::ErrorKind::ConnectionAborted.into())
        } else {
            Ok(())
        }
    }

    /// Notes the result of a write; a pending one fails once it is past its timeout.
    fn record_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if result.is_pending() {
            let timeout = self.stall_timeout.get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
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
        head.read(chunk.filled());
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
