//! Clients that disconnect in the very step in which their request would be sent: the proxy is suspended while both
//! events arrive.

mod rig;
mod waits;

use rig::*;
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, timeout};

fn request_text(class: &str, id: &str, framing: &str) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nIdempotency-Key: 5c\r\n{framing}\r\n"
    )
}

/// Disconnects, and waits until the kernel has delivered that to the proxy's socket.
async fn disconnect(mut client: TcpStream, reset: bool) {
    const ESTABLISHED: &str = "01";
    let (from, to) =
        (client.peer_addr().expect("connection is open"), client.local_addr().expect("connection is open"));
    if reset {
        client.set_zero_linger().expect("connection is open");
        drop(client);
    } else {
        client.shutdown().await.expect("connection is open");
    }
    let ends = [from, to].map(|addr| format!(":{:04X}", addr.port()));
    let is_established = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let field_ends_with = |n: usize, end: &str| fields.get(n).is_some_and(|field| field.ends_with(end));
        field_ends_with(1, &ends[0]) && field_ends_with(2, &ends[1]) && fields.get(3) == Some(&ESTABLISHED)
    };
    let delivered = async {
        while std::fs::read_to_string("/proc/net/tcp")
            .expect("a readable TCP table")
            .lines()
            .any(is_established)
        {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    within_deadline(delivered).await;
}

/// Starts a proxy whose only backend is `listener`.
async fn start_proxy_for(
    listener: &TcpListener,
    settings: serde_json::Value,
) -> (TestDiscovery, ProxyProcess) {
    let addr = listener.local_addr().expect("listener is bound");
    let discovery = TestDiscovery::start(vec![endpoint_entry("c", addr, "SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings).await;
    (discovery, proxy)
}

/// Accepts the next connection; on a timeout it panics with the listener's lines, including timers, of the TCP table.
async fn accept_or_panic(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    let port = format!(":{:04X}", listener.local_addr().expect("listener is bound").port());
    match timeout(TEST_DEADLINE, listener.accept()).await {
        Ok(accepted) => accepted.expect("an accepted connection"),
        Err(_) => {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("a readable TCP table");
            let lines: Vec<_> = table.lines().filter(|line| line.contains(&port)).collect();
            panic!("no connection within {TEST_DEADLINE:?}:\n{}", lines.join("\n"));
        }
    }
}

/// A connect completes late, and its client disconnects before or after that, while the proxy is suspended.
#[rstest]
#[tokio::test]
async fn nothing_is_written_when_a_connect_completes_as_its_client_disconnects(
    #[values(true, false)] connect_first: bool,
    #[values(true, false)] reset: bool,
    #[values("", "stray")] trailing: &str,
) {
    let (listener, queued_streams) = unresponsive_listener().await;
    let (_discovery, proxy) = start_proxy_for(&listener, with_cap("connectTimeout", 30_000.into())).await;
    let mut client =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts a connection");
    client
        .write_all((request_text("look", "gone", "") + trailing).as_bytes())
        .await
        .expect("connection is open");
    within_deadline(wait_for_connecting(listener.local_addr().expect("listener is bound"))).await;
    within_deadline(proxy.suspend()).await;
    let mut client = Some(client);
    if !connect_first {
        disconnect(client.take().expect("client is connected"), reset).await;
    }
    let queued: Vec<_> =
        queued_streams.iter().map(|stream| stream.local_addr().expect("connection is open")).collect();
    let mut late = loop {
        let (stream, from) = accept_or_panic(&listener).await;
        // The connections that filled the queue may come in any order, as their handshakes are repeated.
        if !queued.contains(&from) {
            break stream;
        }
    };
    if let Some(client) = client {
        disconnect(client, reset).await;
    }
    proxy.send_signal("-CONT");
    let mut seen = Vec::new();
    within_deadline(late.read_to_end(&mut seen)).await.expect("connection closed");
    assert_eq!(String::from_utf8_lossy(&seen), "", "a request whose client had disconnected was written");
}

/// Accepts a connection at either backend.
async fn accept_any(backends: &[TcpListener; 2]) -> TcpStream {
    let [a, b] = backends;
    let accepted = tokio::select! { a = a.accept() => a, b = b.accept() => b };
    accepted.expect("an accepted connection").0
}

/// A backend declines a request and its client disconnects, in either order: there is no retry at the other backend.
#[rstest]
#[tokio::test]
async fn a_retry_is_not_sent_in_the_step_in_which_its_client_disconnects(
    #[values(true, false)] response_first: bool,
    #[values(true, false)] reset: bool,
    #[values("", "stray")] trailing: &str,
) {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let backends = [bind().await.expect("a free port"), bind().await.expect("a free port")];
    let at = |n: usize| backends[n].local_addr().expect("listener is bound");
    let lines = vec![endpoint_entry("a", at(0), "SERVING"), endpoint_entry("b", at(1), "SERVING")];
    let discovery = TestDiscovery::start(lines).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    let mut client =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts a connection");
    client
        .write_all((request_text("look", "gone", "") + trailing).as_bytes())
        .await
        .expect("connection is open");
    let mut first = within_deadline(accept_any(&backends)).await;
    let mut head = [0; 4096];
    let n = within_deadline(first.read(&mut head)).await.expect("connection is open");
    assert!(head[..n].windows(4).any(|w| w == b"gone"));
    within_deadline(proxy.suspend()).await;
    let declined = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    if response_first {
        first.write_all(declined).await.expect("connection is open");
        disconnect(client, reset).await;
    } else {
        disconnect(client, reset).await;
        first.write_all(declined).await.expect("connection is open");
    }
    proxy.send_signal("-CONT");
    // The next request that the proxy sends to either backend must be the next client's.
    let mut marker =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts a connection");
    marker.write_all(request_text("look", "next", "").as_bytes()).await.expect("connection is open");
    let seen = within_deadline(async {
        loop {
            let n = tokio::select! {
                Ok(n @ 1..) = first.read(&mut head) => n,
                mut second = accept_any(&backends) => second.read(&mut head).await.unwrap_or(0),
            };
            let text = String::from_utf8_lossy(&head[..n]);
            // An abandoned connection carries no request.
            if text.contains("/look") {
                return text.into_owned();
            }
        }
    });
    let seen = seen.await;
    assert!(seen.contains("next"), "sent for a client that had disconnected: {seen}");
}

/// The last part of a streamed body arrives together with its client's disconnect: the backend never gets the whole
/// body.
#[rstest]
#[tokio::test]
async fn a_streamed_body_whose_client_disconnected_is_not_sent_whole(#[values(true, false)] reset: bool) {
    const PART: usize = 80_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (_discovery, proxy) = start_proxy_for(&listener, settings()).await;
    let mut client =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts a connection");
    let head = request_text("keep", "gone", &format!("Content-Length: {}\r\n", PART + PART / 4));
    client.write_all((head + &"x".repeat(PART)).as_bytes()).await.expect("connection is open");
    let (mut backend, _) = within_deadline(listener.accept()).await.expect("a connection from the proxy");
    let (mut seen, mut part) = (Vec::new(), [0; 4096]);
    let body = |seen: &[u8]| seen.iter().filter(|b| **b == b'x').count();
    while body(&seen) < PART {
        let n @ 1.. = within_deadline(backend.read(&mut part)).await.expect("connection is open") else {
            panic!("the connection ended early")
        };
        seen.extend_from_slice(&part[..n]);
    }
    within_deadline(proxy.suspend()).await;
    client.write_all("x".repeat(PART / 4).as_bytes()).await.expect("connection is open");
    disconnect(client, reset).await;
    proxy.send_signal("-CONT");
    // The connection ends by a close or by a reset.
    let _ = within_deadline(backend.read_to_end(&mut seen)).await;
    assert!(body(&seen) < PART + PART / 4, "a backend has the whole body of a client that disconnected");
}

/// A backend stops reading while a request is half written; its client disconnects, and the backend reads again.
#[tokio::test]
async fn a_half_written_request_whose_client_disconnected_is_never_completed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let (_discovery, proxy) = start_proxy_for(&listener, settings()).await;
    const LONG_BODY: usize = 16 << 20;
    let mut client =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts a connection");
    let head = request_text("once", "gone", &format!("Content-Length: {LONG_BODY}\r\n"))
        .replace("Idempotency-Key: 5c\r\n", "");
    client.write_all(head.as_bytes()).await.expect("connection is open");
    let (mut backend, _) = within_deadline(listener.accept()).await.expect("a connection from the proxy");
    // Fill all buffers on the way.
    let mut part = vec![b'x'; 64 << 10];
    while timeout(Duration::from_millis(500), client.write_all(&part)).await.is_ok() {}
    client.set_zero_linger().expect("connection is open");
    drop(client);
    let mut received = 0;
    while let Ok(n @ 1..) = within_deadline(backend.read(&mut part)).await {
        received += n;
    }
    assert!(received < LONG_BODY, "the backend has all {received} bytes of an abandoned request");
}
