//! A client's stream, which detects that the client has left.
//!
//! The HTTP library does not read from a stream while it holds bytes for a later request, and so misses an end of
//! stream behind them. [`Client`] reads ahead, up to a limit, and keeps the bytes for the library.

use super::ByteCount;
use super::unparsed_bytes::UnparsedBytes;
use crate::body::BufferBudget;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use rustix::io::ioctl_fionread;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, sleep};

/// Interval at which a stream is checked for its end while the read-ahead buffer is full.
///
/// The platform allows attempts for up to 100 ms after the client has left, whatever its deadline.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The reading half of a client's stream, on which the end of the stream is detected.
pub struct Client {
    stream: RefCell<TokioIo<CountingReader>>,
    /// Number of bytes that the HTTP library was given.
    bytes_read: Rc<Cell<u64>>,
    ahead: RefCell<UnparsedBytes>,
    /// The bytes that were read from the socket, as far as they have been checked.
    received: Cell<ByteCount>,
    /// Whether nothing was left unread at the last check.
    has_read_all: Cell<bool>,
    /// Whether the request has been read completely, so that unread bytes do not belong to it.
    request_complete: Cell<bool>,
}

/// The reading half of a TCP stream, which counts the bytes that are read asynchronously.
struct CountingReader {
    half: OwnedReadHalf,
    bytes_read: Rc<Cell<u64>>,
}

impl AsyncRead for CountingReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = Pin::new(&mut self.half).poll_read(cx, buf);
        let count = buf.filled().len() - filled_before;
        self.bytes_read.update(|n| n + count as u64);
        result
    }
}

impl Client {
    /// Returns whether the client has closed its connection or its sending direction, has reset the connection, or
    /// has sent more than [`crate::body::MAX_BODY_BYTES`] after its request. Checks the socket, so that the answer is
    /// current.
    pub fn has_left(&self) -> bool {
        let stream = self.stream.borrow();
        let ahead = &mut *self.ahead.borrow_mut();
        let stream = &stream.inner().half;
        let has_read_all = ahead.fill(stream, self.request_complete.get());
        self.count_received(ahead);
        self.has_read_all.set(has_read_all);
        if has_read_all {
            return false;
        }
        // The system reports the end of the stream even while bytes before it are unread.
        let mut ready = pin!(stream.ready(Interest::READABLE));
        let ready = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        ahead.end.is_some() || matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Sets when all that has arrived up to now had arrived.
    pub fn set_arrived_at(&self, arrived_at: Instant) {
        self.received.set(ByteCount { bytes: self.arrived_bytes(), grew_at: arrived_at });
    }

    /// Returns the number of bytes that have arrived from the client since it connected, read or not. Where the system
    /// does not tell how many are unread, those are not counted.
    pub fn arrived_bytes(&self) -> u64 {
        self.received_bytes(&self.ahead.borrow()) + self.unread_bytes()
    }

    /// Returns the number of bytes that wait in the system's buffer; 0 where the system does not tell.
    pub fn unread_bytes(&self) -> u64 {
        ioctl_fionread(self.stream.borrow().inner().half.as_ref()).unwrap_or(0)
    }

    fn received_bytes(&self, ahead: &UnparsedBytes) -> u64 {
        self.bytes_read.get() + ahead.count()
    }

    fn count_received(&self, ahead: &UnparsedBytes) {
        let bytes = self.received_bytes(ahead);
        self.received.update(|received| received.grown_to(bytes));
    }

    /// Returns when the last byte was received of a request that was just read, if that was while an earlier request
    /// was served. Bytes of a later request count too, which can only make the time later.
    pub fn received_ahead_at(&self) -> Option<Instant> {
        let before = self.received.get();
        self.count_received(&self.ahead.borrow());
        (self.received.get().bytes == before.bytes).then_some(before.grew_at)
    }

    /// Returns the counter of the bytes that the HTTP library was given.
    pub fn bytes_read(&self) -> Rc<Cell<u64>> {
        self.bytes_read.clone()
    }

    /// Sets whether the client's request has been read completely, so that further bytes may be discarded.
    pub fn set_request_complete(&self, request_complete: bool) {
        self.request_complete.set(request_complete);
    }

    /// Returns whether bytes after the request were discarded, so that the connection must close after the response.
    pub fn has_discarded(&self) -> bool {
        self.ahead.borrow().discarded > 0
    }

    /// Waits until the client has left. Only the connection's own task may wait.
    pub async fn wait_until_left(&self) {
        while !self.has_left() {
            if self.has_read_all.get() {
                // An error is reported by the next call of `has_left`.
                let _ = poll_fn(|cx| self.stream.borrow().inner().half.as_ref().poll_read_ready(cx)).await;
            } else {
                sleep(END_CHECK_INTERVAL).await;
            }
        }
    }
}

/// A client's stream in both directions, for the HTTP library.
pub struct ClientStream {
    client: Rc<Client>,
    write: TokioIo<OwnedWriteHalf>,
}

impl ClientStream {
    /// Splits a TCP stream, of which `first_bytes` were read, into its two directions. What is read ahead is charged to `budget`.
    pub fn new(stream: TcpStream, first_bytes: Vec<u8>, budget: Rc<BufferBudget>) -> Self {
        let (read, write) = stream.into_split();
        let bytes_read = Rc::<Cell<u64>>::default();
        let reader = CountingReader { half: read, bytes_read: bytes_read.clone() };
        let client = Client {
            stream: RefCell::new(TokioIo::new(reader)),
            bytes_read,
            ahead: RefCell::new(UnparsedBytes::new(first_bytes, budget)),
            received: Cell::new(ByteCount::new(0)),
            has_read_all: Cell::default(),
            request_complete: Cell::default(),
        };
        ClientStream { client: Rc::new(client), write: TokioIo::new(write) }
    }

    /// Returns the reading half, shared with the request.
    pub fn client(&self) -> Rc<Client> {
        self.client.clone()
    }
}

impl Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let ahead = &mut *self.client.ahead.borrow_mut();
        if !ahead.is_empty() {
            let n = ahead.take_with(|kept| {
                let n = buf.remaining().min(kept.len());
                buf.put_slice(&kept[..n]);
                n
            });
            self.client.bytes_read.update(|read| read + n as u64);
            return Poll::Ready(Ok(()));
        }
        match &ahead.end {
            None => Pin::new(&mut *self.client.stream.borrow_mut()).poll_read(cx, buf),
            Some(Ok(())) => Poll::Ready(Ok(())),
            Some(Err(e)) => Poll::Ready(Err(e.kind().into())),
        }
    }
}

impl Write for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let ended = Pin::new(&mut self.write).poll_shutdown(cx);
        if ended.is_ready() {
            // `LingeringClose` discards all bytes read from now on, so that missing bytes do no harm.
            self.client.ahead.borrow_mut().discarded = 0;
        }
        ended
    }
}
