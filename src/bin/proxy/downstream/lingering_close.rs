//! Lingering close: closes a client's connection in two steps, as RFC 9112, section 9.6 describes.
//!
//! Acts when the HTTP library shuts a connection down. Owns the stream and the time and size limits of what is read after.
//!
//! Guards against a response that is lost: a connection that is closed over unread bytes is reset, and the client's system
//! then drops what it has received. So our sending side ends first, and what still arrives is read and dropped.

use crate::body::{BUFFER, MAX_BUFFERED_BODY_BYTES};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// A client that has sent nothing for so long after our last byte has most likely received it: a round trip between
/// regions, and less than the time between the last responses and the kill.
const QUIET_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that is read after our last byte: a client that goes on sending must not hold its connection for ever.
const MAX_DURATION: Duration = Duration::from_secs(5);
/// Most bytes that are read after our last byte: more than is on its way at that time. To read all of a 60 MB body would
/// cost the other clients more time than this response is worth.
const MAX_BYTES: usize = 16 * MAX_BUFFERED_BODY_BYTES;

/// A stream whose shutdown ends our sending side and then reads and drops what still arrives, until the client ends its
/// side too.
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

    /// When our sending side was ended.
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
        let mut bytes = [0; BUFFER];
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
