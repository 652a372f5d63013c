//! A client's connection that is closed in two steps, as RFC 9112, section 9.6 describes.

use crate::body::{BUFFER, SMALL};
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

/// A client that has sent nothing for so long after our last byte has most likely seen it: a round trip between
/// regions, and less than what is left between the last answers and the kill.
const QUIET: Duration = Duration::from_millis(300);
/// Who never stops sending is not read from for longer: a bound on what one connection holds, whatever the settings.
const LONGEST: Duration = Duration::from_secs(5);
/// Nor for more bytes than these, more than is on its way when our last byte goes out. To read all of a peer's 60 MB
/// costs the others more time than its answer is worth.
const MOST: usize = 16 * SMALL;

/// A stream whose shutdown ends our sending side and then reads what still comes, for nobody, until the client ends
/// its side too. Closed over unread bytes, the connection would be reset, and an answer on its way would be lost.
pub(super) struct Lingering<S> {
    stream: S,
    ended: Rc<Cell<Option<Instant>>>,
    read: usize,
    quiet: Option<Pin<Box<Sleep>>>,
}

impl<S> Lingering<S> {
    pub(super) fn new(stream: S) -> Self {
        Lingering { stream, ended: Rc::default(), read: 0, quiet: None }
    }

    /// Since when our sending side has ended.
    pub(super) fn ended(&self) -> Rc<Cell<Option<Instant>>> {
        self.ended.clone()
    }
}

impl<S: Read + Unpin> Read for Lingering<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: Read + Write + Unpin> Write for Lingering<S> {
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
        let since = match this.ended.get() {
            Some(since) => since,
            None => {
                ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
                let now = Instant::now();
                this.ended.set(Some(now));
                now
            }
        };
        let quiet = this.quiet.get_or_insert_with(|| Box::pin(sleep(QUIET)));
        let mut bytes = [0; BUFFER];
        while this.read < MOST && since.elapsed() < LONGEST {
            let mut part = ReadBuf::new(&mut bytes);
            if Pin::new(&mut this.stream).poll_read(cx, part.unfilled())?.is_pending() {
                return quiet.as_mut().poll(cx).map(Ok);
            }
            let came = part.filled().len();
            if came == 0 {
                break;
            }
            this.read += came;
            quiet.set(sleep_until((Instant::now() + QUIET).min(since + LONGEST)));
        }
        Poll::Ready(Ok(()))
    }
}
