//! Requests whose attempt ends while their clients still send the body, on real sockets.

use super::text;
use crate::rig::*;
use rstest::rstest;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a client sends at first: as much of a body in chunks as is buffered.
const FIRST_PART: usize = 64 * 1024 + 1;
/// What it sends after the end of the first attempt. No other byte of the body is a digit.
const REST: &[u8] = &[b'7'; 40_000];
const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 4\r\n\r\nfull";
const DECLINED_AND_CLOSED: &str =
    "HTTP/1.1 504 Gateway Timeout\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const EARLY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly";
const EARLY_ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

/// A request on a connection of its own, whose client has not sent the body whole.
struct Upload {
    stream: TcpStream,
    chunked: bool,
    /// The body as far as it was sent.
    sent: Vec<u8>,
}

impl Upload {
    /// Sends the head, and the first part of a body in chunks: one with a length is not buffered.
    async fn begin(proxy: SocketAddr, length: usize, chunked: bool, fields: (u32, &str)) -> Self {
        let mut upload = Upload { stream: connect_to(proxy).await, chunked, sent: Vec::new() };
        let framing =
            if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {length}") };
        upload.send_head(&format!("Req-Deadline-Ms: {}\r\n{}\r\n{framing}", fields.0, fields.1)).await;
        if chunked {
            upload.send(&text(FIRST_PART)).await;
        }
        upload
    }

    async fn send_head(&mut self, fields: &str) {
        let id = request_id();
        let head =
            format!("POST /once HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n{fields}\r\n\r\n");
        self.stream.write_all(head.as_bytes()).await.expect("connection is open");
    }

    fn framed(&self, part: &[u8]) -> Vec<u8> {
        if self.chunked {
            [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat()
        } else {
            part.to_vec()
        }
    }

    async fn send(&mut self, part: &[u8]) {
        let framed = self.framed(part);
        within_deadline(self.stream.write_all(&framed)).await.expect("connection is open");
        self.sent.extend_from_slice(part);
    }

    /// Writes on, without end, until the proxy answers.
    async fn send_until_answered(&mut self, part: &[u8]) {
        let framed = self.framed(part);
        let (reading, mut writing) = self.stream.split();
        tokio::select! {
            _ = async { (writing.write_all(&framed).await, pending::<()>().await) } => {}
            ready = within_deadline(reading.readable()) => ready.expect("a response"),
        }
    }

    async fn end(&mut self) {
        if self.chunked {
            within_deadline(self.stream.write_all(b"0\r\n\r\n")).await.expect("connection is open");
        }
    }

    /// Returns the status of the final response.
    async fn status(&mut self) -> String {
        let mut read = Vec::new();
        loop {
            let new = within_deadline(self.stream.read_buf(&mut read)).await.expect("a response");
            assert_ne!(new, 0, "closed without a response");
            let text = String::from_utf8_lossy(&read).replace("HTTP/1.1 100 Continue\r\n\r\n", "");
            if text.contains("\r\n\r\n") {
                return text[9..12].to_string();
            }
        }
    }
}

async fn connect_to(proxy: SocketAddr) -> TcpStream {
    within_deadline(TcpStream::connect(proxy)).await.expect("proxy accepts connections")
}

/// Reads until `read` holds `wanted` or the connection ends.
async fn read_until(stream: &mut TcpStream, read: &mut Vec<u8>, wanted: &[u8]) {
    let holds = |read: &[u8]| read.windows(wanted.len()).any(|part| part == wanted);
    while !holds(read) && matches!(within_deadline(stream.read_buf(read)).await, Ok(1..)) {}
}

/// Starts a proxy whose only backend is this one, and accepts the attempt of an upload.
async fn start_upload(
    listener: &TcpListener,
    length: usize,
    chunked: bool,
    fields: (u32, &str),
) -> (TestDiscovery, ProxyProcess, Upload, TcpStream, Vec<u8>) {
    let address = listener.local_addr().expect("listener is bound");
    let discovery = TestDiscovery::start(vec![endpoint_entry("a", address, "SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    let upload = Upload::begin(proxy.addr, length, chunked, fields).await;
    let (mut attempt, _) = within_deadline(listener.accept()).await.expect("an attempt");
    let mut read = Vec::new();
    read_until(&mut attempt, &mut read, b"\r\n\r\n").await;
    (discovery, proxy, upload, attempt, read)
}

/// A piece that arrived after the end of an attempt, while the next one was connecting, was written to the backend of the
/// ended attempt, and the next backend got a whole request with that piece missing.
#[rstest]
#[tokio::test]
async fn what_arrives_after_the_end_of_an_attempt_reaches_the_next_backend_alone(
    #[values(false, true)] chunked: bool,
    #[values("Accept: */*", "Expect: 100-continue")] field: &str,
    #[values(DECLINED, DECLINED_AND_CLOSED, EARLY, EARLY_ERROR, "")] response: &str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (discovery, _proxy, mut upload, mut first, mut read) =
        start_upload(&listener, REST.len() * 2, chunked, (60_000, field)).await;
    // The next attempt can't connect before the test lets it.
    let (next, _queued) = unresponsive_listener().await;
    let next_address = next.local_addr().expect("listener is bound");
    let address = listener.local_addr().expect("listener is bound");
    let (a, b) = (endpoint_entry("a", address, "SERVING"), endpoint_entry("b", next_address, "SERVING"));
    discovery.publish(vec![a, b]).await;
    first.write_all(response.as_bytes()).await.expect("connection is open");
    if response.is_empty() {
        drop(std::mem::replace(&mut first, TcpStream::connect(address).await.expect("a connection")));
        first.shutdown().await.expect("connection is open");
        drop(listener);
    }
    within_deadline(wait_for_connecting(next_address)).await;
    upload.send(REST).await;
    if !response.is_empty() {
        read_until(&mut first, &mut read, &REST[..9]).await;
        assert!(!read.windows(9).any(|part| part == &REST[..9]), "the ended attempt took a piece");
    }
    let control = Arc::new(BackendControl::default());
    let _b = TestBackend::with_listener("b", next, &control);
    upload.send(REST).await;
    upload.end().await;
    assert_eq!(upload.status().await, "200");
    assert!(control.requests.borrow()[0].2 == upload.sent, "the body has changed");
}

/// How an attempt ends that has taken a piece.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Declined,
    Closed,
    ClientLeaves,
    TimedOut,
}

/// A request of which a backend has a piece reaches no other one, and none is told that it ends there.
#[rstest]
#[tokio::test]
async fn a_request_of_which_a_piece_is_gone_is_neither_repeated_nor_ended(
    #[values(false, true)] chunked: bool,
    #[values(End::Declined, End::Closed, End::ClientLeaves, End::TimedOut)] end: End,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    // More than the systems hold for a backend that does not read.
    let length = if end == End::TimedOut { 24 << 20 } else { REST.len() * 2 };
    let deadline_ms = if end == End::TimedOut { 700 } else { 60_000 };
    let (discovery, proxy, mut upload, mut first, mut read) =
        start_upload(&listener, length, chunked, (deadline_ms, "Accept: */*")).await;
    upload.send(REST).await;
    read_until(&mut first, &mut read, &REST[..9]).await;
    let control = Arc::new(BackendControl::default());
    let b = TestBackend::start("b", &control).await;
    let address = listener.local_addr().expect("listener is bound");
    discovery.publish(vec![endpoint_entry("a", address, "SERVING"), b.endpoint_entry("SERVING")]).await;
    match end {
        End::Declined => first.write_all(DECLINED.as_bytes()).await.expect("connection is open"),
        End::Closed => first.shutdown().await.expect("connection is open"),
        End::ClientLeaves => upload.stream.shutdown().await.expect("connection is open"),
        End::TimedOut => upload.send_until_answered(&text(length)).await,
    }
    if matches!(end, End::Declined | End::Closed) {
        assert!(upload.status().await.starts_with('5'), "the rest of a body was served");
    }
    while matches!(within_deadline(first.read_buf(&mut read)).await, Ok(1..)) {}
    let body = read.windows(4).position(|part| part == b"\r\n\r\n").expect("a head") + 4;
    assert!(
        chunked && !read.ends_with(b"0\r\n\r\n") || !chunked && read.len() - body < length,
        "an end was told"
    );
    // The connection is not used again, and the other backend has nothing of the request.
    drop(listener);
    assert_eq!(proxy.call("once").await, (200, "b".into()));
    assert_eq!(control.requests.borrow().len(), 1);
}
