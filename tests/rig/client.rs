//! HTTP clients, and addresses that do not accept connections.

use super::within_deadline;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

pub async fn connect(addr: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = within_deadline(TcpStream::connect(addr)).await.expect("listener accepts connections");
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("client handshake succeeds");
    tokio::spawn(connection);
    sender
}

/// Returns a request id that no earlier call has returned, nor one of an earlier test process: the ids that proxies have
/// sent at an address outlast them in its lock files, and ports are used again.
pub fn request_id() -> String {
    static NEXT: LazyLock<AtomicUsize> =
        LazyLock::new(|| AtomicUsize::new(fastrand::usize(1..usize::MAX / 2)));
    format!("{:016x}", NEXT.fetch_add(1, SeqCst))
}

/// Builds a request of a class with the headers that the proxy requires and a unique `req-id`.
pub fn request(class: &str) -> hyper::http::request::Builder {
    let request = Request::builder()
        .method(if class == "look" { "GET" } else { "POST" })
        .uri(format!("/{class}?k=7f3a"))
        .header("host", "origin.svc")
        .header("req-id", request_id())
        .header("req-owner", "acme")
        .header("req-deadline-ms", "60000");
    if class == "keep" { request.header("idempotency-key", "5c0f6e1a") } else { request }
}

/// A client on one connection.
pub struct TestClient(pub SendRequest<Full<Bytes>>);

impl TestClient {
    /// Sends a request and returns the status and body of the response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> (u16, String) {
        within_deadline(self.0.ready()).await.expect("connection stays open");
        let response = within_deadline(self.0.send_request(request)).await.expect("response head arrives");
        let status = response.status().as_u16();
        let body = within_deadline(response.into_body().collect())
            .await
            .expect("response body is complete")
            .to_bytes();
        (status, String::from_utf8(body.to_vec()).expect("response body is UTF-8"))
    }

    /// Sends an empty request of a class.
    pub async fn call(&mut self, class: &str) -> (u16, String) {
        self.send(request(class).body(Full::default()).expect("valid request")).await
    }
}

/// Returns a listener with a full accept queue, so that connects neither succeed nor fail, and the streams that
/// fill the queue.
pub async fn unresponsive_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().expect("creates a socket");
    socket.bind("127.0.0.1:0".parse().expect("valid address")).expect("binds a loopback port");
    let listener = socket.listen(1).expect("starts listening");
    let addr = listener.local_addr().expect("listener has a local address");
    let mut streams = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(addr)).await {
        streams.push(stream.expect("connects to the listener"));
        assert!(streams.len() < 100, "the accept queue fills up");
    }
    (listener, streams)
}

/// Returns a bound socket that refuses connects until it listens; binding keeps the port from others.
pub fn refusing_address() -> (tokio::net::TcpSocket, SocketAddr) {
    let socket = tokio::net::TcpSocket::new_v4().expect("creates a socket");
    socket.bind("127.0.0.1:0".parse().expect("valid address")).expect("binds a loopback port");
    let addr = socket.local_addr().expect("listener has a local address");
    (socket, addr)
}
