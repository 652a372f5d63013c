//! Clients that leave in the very step in which their request would be sent: the proxy stands still while both come.

mod rig;
mod waits;

use rig::*;
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, timeout};

fn text(class: &str, id: &str, framing: &str) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nIdempotency-Key: 5c\r\n{framing}\r\n"
    )
}

/// Leaves, and waits until the proxy's system knows.
async fn leave(mut client: TcpStream, resets: bool) {
    const ESTABLISHED: &str = "01";
    let (from, to) = (client.peer_addr().expect("open"), client.local_addr().expect("open"));
    if resets {
        client.set_zero_linger().expect("open");
        drop(client);
    } else {
        client.shutdown().await.expect("open");
    }
    let ends = [from, to].map(|addr| format!(":{:04X}", addr.port()));
    let open = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is = |n: usize, end: &str| fields.get(n).is_some_and(|field| field.ends_with(end));
        is(1, &ends[0]) && is(2, &ends[1]) && fields.get(3) == Some(&ESTABLISHED)
    };
    let knows = async {
        while std::fs::read_to_string("/proc/net/tcp").expect("a table").lines().any(open) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    within_deadline(knows).await;
}

/// A backend by hand, and a proxy that lists it alone.
async fn alone(listener: &TcpListener, settings: serde_json::Value) -> (TestDiscovery, ProxyProcess) {
    let addr = listener.local_addr().expect("bound");
    let discovery = TestDiscovery::start(vec![endpoint_entry("c", addr, "SERVING")]).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings).await;
    (discovery, proxy)
}

/// The next connection; where none comes, the listener's lines in the system's table, with their timers, say why.
async fn dialled(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    let port = format!(":{:04X}", listener.local_addr().expect("bound").port());
    match timeout(TEST_DEADLINE, listener.accept()).await {
        Ok(accepted) => accepted.expect("a connection"),
        Err(_) => {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
            let lines: Vec<_> = table.lines().filter(|line| line.contains(&port)).collect();
            panic!("no dial came within {TEST_DEADLINE:?}:\n{}", lines.join("\n"));
        }
    }
}

/// A dial comes up late, and its client leaves: before or after that, while the proxy stands still.
#[rstest]
#[tokio::test]
async fn nothing_is_written_on_a_dial_that_comes_up_as_its_client_leaves(
    #[values(true, false)] dial_first: bool,
    #[values(true, false)] resets: bool,
    #[values("", "stray")] behind: &str,
) {
    let (listener, held) = unresponsive_listener().await;
    let (_discovery, proxy) = alone(&listener, with_cap("connectTimeout", 30_000.into())).await;
    let mut client = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
    client.write_all((text("look", "gone", "") + behind).as_bytes()).await.expect("open");
    within_deadline(wait_for_connecting(listener.local_addr().expect("bound"))).await;
    within_deadline(proxy.suspend()).await;
    let mut client = Some(client);
    if !dial_first {
        leave(client.take().expect("here"), resets).await;
    }
    let queued: Vec<_> = held.iter().map(|stream| stream.local_addr().expect("open")).collect();
    let mut late = loop {
        let (stream, from) = dialled(&listener).await;
        // Those that filled the queue may come in any order, as their handshakes are repeated.
        if !queued.contains(&from) {
            break stream;
        }
    };
    if let Some(client) = client {
        leave(client, resets).await;
    }
    proxy.send_signal("-CONT");
    let mut seen = Vec::new();
    within_deadline(late.read_to_end(&mut seen)).await.expect("closed");
    assert_eq!(String::from_utf8_lossy(&seen), "", "a request whose client had left was written");
}

/// Accepts at either backend.
async fn accept(backends: &[TcpListener; 2]) -> TcpStream {
    let [a, b] = backends;
    let accepted = tokio::select! { a = a.accept() => a, b = b.accept() => b };
    accepted.expect("a connection").0
}

/// A backend turns a request away and its client leaves, in one order or the other: it does not go to the other one.
#[rstest]
#[tokio::test]
async fn a_retry_is_not_sent_in_the_step_in_which_its_client_leaves(
    #[values(true, false)] answer_first: bool,
    #[values(true, false)] resets: bool,
    #[values("", "stray")] behind: &str,
) {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let backends = [bind().await.expect("a port"), bind().await.expect("a port")];
    let at = |n: usize| backends[n].local_addr().expect("bound");
    let lines = vec![endpoint_entry("a", at(0), "SERVING"), endpoint_entry("b", at(1), "SERVING")];
    let discovery = TestDiscovery::start(lines).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings()).await;
    let mut client = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
    client.write_all((text("look", "gone", "") + behind).as_bytes()).await.expect("open");
    let mut first = within_deadline(accept(&backends)).await;
    let mut head = [0; 4096];
    let n = within_deadline(first.read(&mut head)).await.expect("open");
    assert!(head[..n].windows(4).any(|w| w == b"gone"));
    within_deadline(proxy.suspend()).await;
    let declined = b"HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    if answer_first {
        first.write_all(declined).await.expect("open");
        leave(client, resets).await;
    } else {
        leave(client, resets).await;
        first.write_all(declined).await.expect("open");
    }
    proxy.send_signal("-CONT");
    // Whatever the proxy sends next, wherever to, is the next client's.
    let mut marker = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
    marker.write_all(text("look", "next", "").as_bytes()).await.expect("open");
    let seen = within_deadline(async {
        loop {
            let n = tokio::select! {
                Ok(n @ 1..) = first.read(&mut head) => n,
                mut second = accept(&backends) => second.read(&mut head).await.unwrap_or(0),
            };
            let text = String::from_utf8_lossy(&head[..n]);
            // A dial given up carries nothing.
            if text.contains("/look") {
                return text.into_owned();
            }
        }
    });
    let seen = seen.await;
    assert!(seen.contains("next"), "sent for a client that had left: {seen}");
}

/// The last part of a body that flows comes with its client's end: the backend never has the whole of it.
#[rstest]
#[tokio::test]
async fn a_long_body_whose_client_left_is_not_sent_whole(#[values(true, false)] resets: bool) {
    const PART: usize = 80_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_discovery, proxy) = alone(&listener, settings()).await;
    let mut client = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
    let head = text("keep", "gone", &format!("Content-Length: {}\r\n", PART + PART / 4));
    client.write_all((head + &"x".repeat(PART)).as_bytes()).await.expect("open");
    let (mut backend, _) = within_deadline(listener.accept()).await.expect("the proxy's");
    let (mut seen, mut part) = (Vec::new(), [0; 4096]);
    let body = |seen: &[u8]| seen.iter().filter(|b| **b == b'x').count();
    while body(&seen) < PART {
        let n @ 1.. = within_deadline(backend.read(&mut part)).await.expect("open") else {
            panic!("it goes on")
        };
        seen.extend_from_slice(&part[..n]);
    }
    within_deadline(proxy.suspend()).await;
    client.write_all("x".repeat(PART / 4).as_bytes()).await.expect("open");
    leave(client, resets).await;
    proxy.send_signal("-CONT");
    // It ends by a close or by a reset.
    let _ = within_deadline(backend.read_to_end(&mut seen)).await;
    assert!(body(&seen) < PART + PART / 4, "a backend has the whole body of a client that left");
}

/// A backend that takes no bytes holds a request half written; its client leaves, and the backend takes bytes again.
#[tokio::test]
async fn a_request_half_written_when_its_client_leaves_is_never_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (_discovery, proxy) = alone(&listener, settings()).await;
    const LONG_BODY: usize = 16 << 20;
    let mut client = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
    let head = text("once", "gone", &format!("Content-Length: {LONG_BODY}\r\n"))
        .replace("Idempotency-Key: 5c\r\n", "");
    client.write_all(head.as_bytes()).await.expect("open");
    let (mut backend, _) = within_deadline(listener.accept()).await.expect("the proxy's");
    // All that the buffers on the way take.
    let mut part = vec![b'x'; 64 << 10];
    while timeout(Duration::from_millis(500), client.write_all(&part)).await.is_ok() {}
    client.set_zero_linger().expect("open");
    drop(client);
    let mut came = 0;
    while let Ok(n @ 1..) = within_deadline(backend.read(&mut part)).await {
        came += n;
    }
    assert!(came < LONG_BODY, "{came} bytes of a request that was left half-way");
}
