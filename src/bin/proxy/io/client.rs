//! A client's stream, which notices that the client has left.
//!
//! The HTTP library does not read a stream while it has bytes that it needs later, and so misses an end behind them.
//! [`Client`] reads ahead, up to a limit, and keeps what it has read for the library.

use crate::body::{BUFFER, MAX_BODY_BYTES};
use bytes::{Buf, BytesMut};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::sleep;

/// Interval at which a stream is checked for its end where the read-ahead is full.
///
/// The platform allows attempts for a client that left for 100 ms longer, whatever its deadline.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Bytes that are read ahead at once.
const READ_CHUNK: usize = 4096;

/// The most bytes that one check reads and discards, so that no client occupies the thread.
const MAX_DISCARDED_PER_CHECK: u64 = 1 << 20;

/// The reading half of a client's stream, by which its end is noticed.
pub struct Client {
    stream: RefCell<TokioIo<OwnedReadHalf>>,
    ahead: RefCell<ReadAhead>,
    /// The request has been read completely, so that what is unread belongs to another one.
    request_complete: Cell<bool>,
}

/// What was read before the HTTP library asked for it.
#[derive(Default)]
struct ReadAhead {
    bytes: BytesMut,
    /// Bytes that followed these and were discarded.
    discarded: u64,
    /// How the stream ended, if it has.
    end: Option<io::Result<()>>,
}

impl ReadAhead {
    /// Reads what is there up to the limit of the read-ahead, and if it `discards`, further bytes up to that of one
    /// check. Returns whether all was read, which shows that the stream has not ended.
    ///
    /// Failure: a client sends without end behind its request. Past [`MAX_BODY_BYTES`] discarded bytes its stream counts as
    /// ended.
    fn fill(&mut self, stream: &OwnedReadHalf, discards: bool) -> bool {
        let mut chunk = [0; READ_CHUNK];
        let max_discarded = self.discarded + MAX_DISCARDED_PER_CHECK;
        while self.end.is_none() && (!self.is_full() || discards && self.discarded < max_discarded) {
            match stream.try_read(&mut chunk) {
                Ok(0) => self.end = Some(Ok(())),
                Ok(n) if self.discarded == 0 && !self.is_full() => self.bytes.extend_from_slice(&chunk[..n]),
                Ok(n) => self.discarded += n as u64,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return true,
                Err(error) => self.end = Some(Err(error)),
            }
        }
        if self.discarded > MAX_BODY_BYTES {
            self.end = Some(Err(io::ErrorKind::FileTooLarge.into()));
        }
        false
    }

    fn is_full(&self) -> bool {
        self.bytes.len() >= BUFFER
    }
}

impl Client {
    /// Whether the client has closed its connection, its sending direction, or reset it, as far as the system knows.
    pub fn has_left(&self) -> bool {
        let stream = self.stream.borrow();
        let ahead = &mut *self.ahead.borrow_mut();
        if ahead.fill(stream.inner(), self.request_complete.get()) {
            return false;
        }
        // The system reports an end also while bytes before it are unread.
        let mut ready = pin!(stream.inner().ready(Interest::READABLE));
        let ready = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        ahead.end.is_some() || matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Sets whether its request has been read completely: bytes that are unread then may be discarded.
    pub fn set_request_complete(&self, request_complete: bool) {
        self.request_complete.set(request_complete);
    }

    /// Whether bytes behind the request were discarded, so that the connection has to close after the answer.
    pub fn has_discarded(&self) -> bool {
        self.ahead.borrow().discarded > 0
    }

    /// Waits until the client has left. Only one task may wait, that of the connection.
    pub async fn wait_until_left(&self) {
        while !self.has_left() {
            let is_full = self.ahead.borrow().is_full();
            if !is_full {
                // An error shows at the next check.
                let _ = poll_fn(|cx| self.stream.borrow().inner().as_ref().poll_read_ready(cx)).await;
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
    /// Splits a stream.
    pub fn new(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        let client = Client {
            stream: RefCell::new(TokioIo::new(read)),
            ahead: RefCell::default(),
            request_complete: Cell::default(),
        };
        ClientStream { client: Rc::new(client), write: TokioIo::new(write) }
    }

    /// Its client, shared with the request.
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
        if !ahead.bytes.is_empty() {
            let n = buf.remaining().min(ahead.bytes.len());
            buf.put_slice(&ahead.bytes[..n]);
            ahead.bytes.advance(n);
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
            // What is read from now on is discarded by the HTTP library too, so that gaps in it do no harm.
            self.client.ahead.borrow_mut().discarded = 0;
        }
        ended
    }
}
