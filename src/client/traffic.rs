//! Counts of a client's control traffic: messages and bytes, by kind.
//!
//! A [`Traffic`] owns the counts; its clones share them. Calls count their messages, and a `MeteredStream` counts the
//! bytes of its connection under the kind of the call in progress.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Kind of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Poll of the full endpoint list.
    FullList,
    /// Watch for updates to the endpoint list.
    ListWatch,
    /// First poll of the route table, and each watch of it.
    RouteWatch,
    /// Report of the calls that this proxy made.
    Report,
    /// Registration of this process, and the poll of the tier's proxies that follows it.
    Registration,
    /// Datagram of the membership protocol.
    Datagram,
    /// Segment of recorded traffic.
    Trace,
}

impl TrafficKind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [TrafficKind; 7] = [
        TrafficKind::FullList,
        TrafficKind::ListWatch,
        TrafficKind::RouteWatch,
        TrafficKind::Report,
        TrafficKind::Registration,
        TrafficKind::Datagram,
        TrafficKind::Trace,
    ];
}

/// Messages and bytes of one kind since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Number of requests or datagrams sent.
    pub messages_sent: u64,
    /// Number of complete answers or datagrams received.
    pub messages_received: u64,
    /// Bytes written to sockets, including HTTP headers and excluding those of TCP, UDP and IP.
    pub bytes_sent: u64,
    /// Bytes read from sockets, including HTTP headers and excluding those of TCP, UDP and IP.
    pub bytes_received: u64,
}

/// Traffic counts of one client; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counts: Rc<[Cell<TrafficCount>; TrafficKind::ALL.len()]>,
}

impl Traffic {
    /// Returns the traffic of a kind since the start.
    pub fn count(&self, kind: TrafficKind) -> TrafficCount {
        self.counts[kind as usize].get()
    }

    /// Adds sent messages and bytes to the counts of a kind.
    pub(super) fn record_sent(&self, kind: TrafficKind, messages: u64, bytes: u64) {
        self.update(kind, |count| {
            count.messages_sent += messages;
            count.bytes_sent += bytes;
        });
    }

    /// Adds received messages and bytes to the counts of a kind.
    pub(super) fn record_received(&self, kind: TrafficKind, messages: u64, bytes: u64) {
        self.update(kind, |count| {
            count.messages_received += messages;
            count.bytes_received += bytes;
        });
    }

    fn update(&self, kind: TrafficKind, change: impl FnOnce(&mut TrafficCount)) {
        let cell = &self.counts[kind as usize];
        let mut count = cell.get();
        change(&mut count);
        cell.set(count);
    }
}

/// Meter of a connection's bytes, which counts them under the kind of the call in progress.
pub(super) struct StreamMeter {
    kind: Cell<TrafficKind>,
    traffic: Traffic,
}

impl StreamMeter {
    /// Creates a meter that counts under `kind`.
    pub(super) fn new(kind: TrafficKind, traffic: Traffic) -> Rc<Self> {
        Rc::new(StreamMeter { kind: Cell::new(kind), traffic })
    }

    /// Sets the kind under which subsequent bytes are counted.
    pub(super) fn set_kind(&self, kind: TrafficKind) {
        self.kind.set(kind);
    }

    fn record_written(&self, written: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.traffic.record_sent(self.kind.get(), 0, *bytes as u64);
        }
    }

    fn record_read(&self, bytes: usize) {
        self.traffic.record_received(self.kind.get(), 0, bytes as u64);
    }
}

/// TCP stream that counts its bytes.
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: Rc<StreamMeter>,
}

impl MeteredStream {
    /// Wraps `stream` so that `meter` counts its bytes.
    pub(super) fn new(stream: TcpStream, meter: Rc<StreamMeter>) -> Self {
        MeteredStream { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.meter.record_read(buf.filled().len() - filled_before);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.meter.record_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.meter.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client/traffic.rs"]
mod tests;
