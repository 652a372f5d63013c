//! Lingering close: closes a client connection in two steps, as described in RFC 9112, section 9.6.
//!
//! Runs when the HTTP library shuts a connection down. Owns the stream and the limits of time and size of what is read
//! after that.
//!
//! A connection that is closed with unread bytes is reset, and the client's system then discards what it has received,
//! including the response. Therefore the proxy ends its sending side first, and reads and discards what still arrives.

use crate::body::{HTTP_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// Time without a byte from the client after which it has most likely received the last byte: longer than a round trip
/// between regions, and shorter than the time between the last responses and the platform's SIGKILL.
const QUIET_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which bytes are read after the end of the sending side: a client that keeps sending must not
/// hold its connection indefinitely.
const MAX_DURATION: Duration = Duration::from_secs(5);
/// Most bytes that are read after the end of the sending side: more than is in transit at that time. Reading all of
/// a 60 MB body would take more time from other clients than this response is worth.
const MAX_BYTES: usize = 16 * MAX_BUFFERED_BODY_BYTES;

/// A stream whose shutdown ends the sending side and then reads and discards what still arrives, until the client
/// ends its side too.
pub(super) struct LingeringClose<S> {
    stream: S,
    ended_at: Rc<Cell<Option<Instant>>>,
    bytes_dropped: usize,
    quiet_timeout: Option<Pin<Box<Sleep>>>,
}

impl<S> LingeringClose<S> {
    pub(super) fn new(stream: S) -> Self {
        LingeringClose { stream, ended_at: Rc::default(), bytes_dropped: 0, quiet_timeout: None }
    }

    /// Returns the shared cell with the time at which the sending side was ended.
    pub(super) fn ended_at(&self) -> Rc<Cell<Option<Instant>>> {
        self.ended_at.clone()
    }
}

impl<S: Read + Unpin> Read for LingeringClose<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Read + Write + Unpin> Write for LingeringClose<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let ended_at = match this.ended_at.get() {
            Some(ended_at) => ended_at,
            None => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
                let now = Instant::now();
                this.ended_at.set(Some(now));
                now
            }
        };
        let quiet_timeout = this.quiet_timeout.get_or_insert_with(|| Box::pin(sleep(QUIET_TIMEOUT)));
        let mut bytes = [0; HTTP_BUFFER_BYTES];
        while this.bytes_dropped < MAX_BYTES && ended_at.elapsed() < MAX_DURATION {
            let mut part = ReadBuf::new(&mut bytes);
            if Pin::new(&mut this.stream).poll_read(cx, part.unfilled())?.is_pending() {
                return quiet_timeout.as_mut().poll(cx).map(Ok);
            }
            let received = part.filled().len();
            if received == 0 {
                break;
            }
            this.bytes_dropped += received;
            quiet_timeout.set(sleep_until((Instant::now() + QUIET_TIMEOUT).min(ended_at + MAX_DURATION)));
        }
        Poll::Ready(Ok(()))
    }
}
