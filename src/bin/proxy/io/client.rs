//! A client's stream, whose end is seen behind bytes that nobody wants yet.

use crate::body::{BUFFER, LARGEST};
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

/// Where more is unread than is read ahead, the system is asked so often whether the stream has ended. No setting
/// can break this: a client that left may be sent for 100 ms longer, whatever its deadline.
const LOOK: Duration = Duration::from_millis(25);

/// So much is read and dropped at one look, so that no client holds up the others.
const DROP: u64 = 1 << 20;

/// A client as far as its stream tells whether it is there. The HTTP library does not read a stream on which it has
/// bytes that it does not want yet; this does, up to a limit.
pub struct Client {
    stream: RefCell<TokioIo<OwnedReadHalf>>,
    ahead: RefCell<Ahead>,
    whole: Cell<bool>,
}

/// What was read before it was asked for.
#[derive(Default)]
struct Ahead {
    bytes: BytesMut,
    /// How much behind them was dropped.
    dropped: u64,
    end: Option<io::Result<()>>,
}

impl Client {
    /// Whether the client has closed its connection, ended its sending or reset it, as far as the system has said.
    pub fn left(&self) -> bool {
        let (stream, ahead) = (self.stream.borrow(), &mut *self.ahead.borrow_mut());
        let (mut part, most) = ([0; 4096], ahead.dropped + DROP);
        while ahead.end.is_none() && (ahead.bytes.len() < BUFFER || self.whole.get() && ahead.dropped < most)
        {
            match stream.inner().try_read(&mut part) {
                Ok(0) => ahead.end = Some(Ok(())),
                Ok(n) if ahead.dropped == 0 && ahead.bytes.len() < BUFFER => {
                    ahead.bytes.extend_from_slice(&part[..n]);
                }
                Ok(n) => ahead.dropped += n as u64,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                Err(e) => ahead.end = Some(Err(e)),
            }
        }
        if ahead.dropped > LARGEST {
            ahead.end = Some(Err(io::ErrorKind::FileTooLarge.into()));
        }
        // The system tells of an end also behind what is unread.
        let mut ready = pin!(stream.inner().ready(Interest::READABLE));
        let ready = ready.as_mut().poll(&mut Context::from_waker(Waker::noop()));
        ahead.end.is_some() || matches!(ready, Poll::Ready(Ok(r)) if r.is_read_closed())
    }

    /// Whether its request has come whole: what is unread then is another one, or none.
    pub fn is_at(&self, whole: bool) {
        self.whole.set(whole);
    }

    /// Whether the connection has to close after the answer, since more came behind the request than is kept.
    pub fn spilt(&self) -> bool {
        self.ahead.borrow().dropped > 0
    }

    /// Waits until it has left. Only the connection's own task may wait.
    pub async fn leaves(&self) {
        while !self.left() {
            let full = self.ahead.borrow().bytes.len() >= BUFFER;
            if !full {
                // An error shows at the next look.
                let _ = poll_fn(|cx| self.stream.borrow().inner().as_ref().poll_read_ready(cx)).await;
            } else {
                sleep(LOOK).await;
            }
        }
    }
}

/// Both directions of a client's stream, for the HTTP library.
pub struct ClientStream {
    client: Rc<Client>,
    write: TokioIo<OwnedWriteHalf>,
}

impl ClientStream {
    /// Takes a stream.
    pub fn new(stream: TcpStream) -> Self {
        let (read, write) = stream.into_split();
        let client = Client {
            stream: RefCell::new(TokioIo::new(read)),
            ahead: RefCell::default(),
            whole: Cell::default(),
        };
        ClientStream { client: Rc::new(client), write: TokioIo::new(write) }
    }

    /// Its client.
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
            // What still comes is read for nobody, so that a gap in it means nothing any more.
            self.client.ahead.borrow_mut().dropped = 0;
        }
        ended
    }
}
