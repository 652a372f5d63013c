//! Messages and bytes of a client's control traffic, by kind of call.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a message belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// The whole list of backends.
    FullList,
    /// A watch on the list's changes.
    ListWatch,
    /// A watch on the route table, and the first call for it.
    RouteWatch,
    /// A report of what this proxy did.
    Report,
    /// A registration among the tier's proxies, and the list of them.
    Registration,
    /// A datagram of the membership protocol.
    Datagram,
    /// A segment of recorded traces.
    Trace,
}

impl TrafficKind {
    /// All kinds.
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

/// What went and came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// Requests or datagrams sent.
    pub messages_sent: u64,
    /// Whole answers or datagrams received.
    pub messages_received: u64,
    /// Bytes written to sockets, with HTTP heads and without those of TCP, UDP or IP.
    pub bytes_sent: u64,
    /// Bytes read from sockets, counted likewise.
    pub bytes_received: u64,
}

/// Counts one client's traffic; copies of it count together.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    counts: Rc<[Cell<TrafficCount>; TrafficKind::ALL.len()]>,
}

impl Traffic {
    /// What has gone and come so far.
    pub fn count(&self, kind: TrafficKind) -> TrafficCount {
        self.counts[kind as usize].get()
    }

    pub(super) fn record_sent(&self, kind: TrafficKind, messages: u64, bytes: u64) {
        self.change(kind, |count| {
            count.messages_sent += messages;
            count.bytes_sent += bytes;
        });
    }

    pub(super) fn record_received(&self, kind: TrafficKind, messages: u64, bytes: u64) {
        self.change(kind, |count| {
            count.messages_received += messages;
            count.bytes_received += bytes;
        });
    }

    fn change(&self, kind: TrafficKind, change: impl FnOnce(&mut TrafficCount)) {
        let cell = &self.counts[kind as usize];
        let mut count = cell.get();
        change(&mut count);
        cell.set(count);
    }
}

/// Where a connection's bytes are counted: those of the call that it carries now.
pub(super) struct StreamMeter {
    kind: Cell<TrafficKind>,
    traffic: Traffic,
}

impl StreamMeter {
    pub(super) fn new(kind: TrafficKind, traffic: Traffic) -> Rc<Self> {
        Rc::new(StreamMeter { kind: Cell::new(kind), traffic })
    }

    /// The next call on this connection is of that kind.
    pub(super) fn set_kind(&self, kind: TrafficKind) {
        self.kind.set(kind);
    }
}

/// A connection whose bytes are counted.
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: Rc<StreamMeter>,
}

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, meter: Rc<StreamMeter>) -> Self {
        MeteredStream { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = to.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, to);
        let bytes = to.filled().len() - before;
        self.meter.traffic.record_received(self.meter.kind.get(), 0, bytes as u64);
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, from);
        if let Poll::Ready(Ok(bytes)) = written {
            self.meter.traffic.record_sent(self.meter.kind.get(), 0, bytes as u64);
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        from: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, from);
        if let Poll::Ready(Ok(bytes)) = written {
            self.meter.traffic.record_sent(self.meter.kind.get(), 0, bytes as u64);
        }
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
