//! Long request and response bodies.

use super::{head, send_chunked, text};
use crate::rig::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn long_bodies_pass_unchanged_in_both_directions() {
    let s = start_fixture(settings()).await;
    for (n, size) in [65_536, 65_537, 3_000_000].into_iter().enumerate() {
        for known_length in [true, false] {
            s.control.enqueue([
                BackendAction::LongBody { len: size, known_length },
                BackendAction::LongBody { len: size, known_length },
            ]);
            let body = text(size);
            let call = request("once").body(Full::from(body.clone())).expect("valid request");
            let (status, response) = s.proxy.connect_client().await.send(call).await;
            assert_eq!((status, response.len()), (200, size));
            assert_eq!(send_chunked(&s, size).await, (200, size));
            let seen = s.control.requests.borrow();
            let [.., (_, _, first), (_, _, second)] = &seen[..] else { panic!("fewer than two requests") };
            assert_eq!(seen.len(), 4 * n + if known_length { 2 } else { 4 });
            assert!(*first == body && second.len() == size && second.iter().all(|b| *b == b'y'));
        }
    }
    s.control.enqueue([BackendAction::LongBody { len: 32 << 20, known_length: true }]);
    let call = request("keep").body(Full::from(text(32 << 20))).expect("valid request");
    assert_eq!(s.proxy.connect_client().await.send(call).await.1.len(), 32 << 20);
}

/// Sixteen concurrent requests with 8 MB in either direction must not be buffered whole.
#[tokio::test]
async fn memory_is_bounded_whatever_the_size_of_the_bodies() {
    let s = start_fixture(settings()).await;
    s.control.enqueue((0..16).map(|n| BackendAction::LongBody { len: 8 << 20, known_length: n % 2 == 0 }));
    let mut calls = Vec::new();
    for _ in 0..16 {
        let mut client = s.proxy.connect_client().await;
        calls.push(tokio::spawn(async move {
            client.send(request("keep").body(Full::from(text(8 << 20))).expect("valid request")).await
        }));
    }
    for call in calls {
        let (status, response) = call.await.expect("task completed");
        assert_eq!((status, response.len()), (200, 8 << 20));
    }
    assert!(s.proxy.peak_memory_mb() < 32, "{} MB", s.proxy.peak_memory_mb());
}

/// A response that its client does not read is not read from the backend either.
#[tokio::test]
async fn a_client_that_does_not_read_applies_backpressure_to_its_backend() {
    let s = start_fixture(settings()).await;
    s.control.enqueue((0..8).map(|_| BackendAction::LongBody { len: 32 << 20, known_length: true }));
    let mut idle = Vec::new();
    for n in 0..8 {
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
        let head = format!(
            "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: idle{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("connection is open");
        let mut start = [0; 12];
        within_deadline(stream.read_exact(&mut start)).await.expect("a response head");
        assert_eq!(&start, b"HTTP/1.1 200");
        idle.push(stream);
    }
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await.0, 200, "other requests are served meanwhile");
    }
    assert!(s.proxy.peak_memory_mb() < 32, "{} MB", s.proxy.peak_memory_mb());
    // One client resumes reading and gets the complete response.
    let (mut resumed, mut got) = (idle.remove(0), 0);
    let mut part = vec![0; 1 << 20];
    while got < 32 << 20 {
        let n = within_deadline(resumed.read(&mut part)).await.expect("connection is open");
        assert_ne!(n, 0, "the response ends after {got} bytes");
        got += n;
    }
}

/// A streamed body goes to the next backend whole if none of it was forwarded; once a part was, the request is not
/// retried, whatever its class.
#[tokio::test]
async fn a_long_body_is_retried_only_while_none_of_it_was_forwarded() {
    let s = start_fixture(settings()).await;
    let body = text(1 << 20);
    let call = |class| request(class).body(Full::from(body.clone())).expect("valid request");
    for class in ["keep", "once"] {
        let partial_before = *s.control.partial_requests.borrow();
        s.control.enqueue([BackendAction::CloseAfterReading(200_000)]);
        let (status, _) = s.proxy.connect_client().await.send(call(class)).await;
        assert!((500..600).contains(&status), "{status}");
        assert_eq!(
            (*s.control.partial_requests.borrow(), s.control.requests.borrow().len()),
            (partial_before + 1, 0)
        );
    }
    let refusing = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port")
        .local_addr()
        .expect("listener is bound");
    s.discovery.publish(vec![endpoint_entry("a", refusing, "SERVING"), s.b.endpoint_entry("SERVING")]).await;
    for n in 1..=6 {
        assert_eq!(s.proxy.connect_client().await.send(call("once")).await, (200, "b".into()));
        assert_eq!(s.control.requests.borrow().len(), n);
        assert_eq!(s.control.requests.borrow()[n - 1].2, body);
    }
}

#[tokio::test]
async fn a_truncated_long_response_is_truncated_for_the_client_too() {
    let s = start_fixture(settings()).await;
    for known_length in [true, false] {
        s.control.enqueue([BackendAction::TruncatedLongBody { len: 1 << 20, known_length }]);
        let mut client = s.proxy.connect_client().await;
        let call = request("once").body(Full::<Bytes>::default()).expect("valid request");
        let response = within_deadline(client.0.send_request(call)).await.expect("a response head");
        assert_eq!(response.status(), 200);
        assert!(
            within_deadline(response.into_body().collect()).await.is_err(),
            "a truncated response was passed on as complete"
        );
    }
    assert_eq!(s.control.requests.borrow().len(), 2, "a request was retried");
}

/// A process ended 3.8 s after SIGTERM and cut off long responses that were still being sent.
#[tokio::test]
async fn shutdown_completes_long_responses_and_starts_no_late_request() {
    let mut s = start_fixture(settings()).await;
    s.control.enqueue([
        BackendAction::LongBody { len: 32 << 20, known_length: true },
        BackendAction::LongBody { len: 1 << 20, known_length: true },
    ]);
    let mut slow = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
    let text = format!("{}Connection: close\r\n\r\n", head("1.1", "look", "long"));
    slow.write_all(text.as_bytes()).await.expect("connection is open");
    let mut part = vec![0; 1 << 16];
    within_deadline(slow.read_exact(&mut part[..12])).await.expect("a response head");
    let mut late = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
    let text = format!("{}Content-Length: 100000\r\n\r\n", head("1.1", "once", "late"));
    late.write_all(text.as_bytes()).await.expect("connection is open");
    late.write_all(&vec![b'x'; 50_000]).await.expect("connection is open");
    s.proxy.terminate().await;
    let stopped = Instant::now();
    tokio::time::sleep(Duration::from_millis(900)).await;
    late.write_all(&vec![b'x'; 50_000]).await.expect("connection is open");
    let mut response = String::new();
    within_deadline(late.read_to_string(&mut response)).await.expect("connection closed without a reset");
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
    // The slow client reads a little at a time, past the time in which every short request has its response.
    let mut got = 12;
    while stopped.elapsed() < Duration::from_millis(4500) {
        got += within_deadline(slow.read(&mut part)).await.expect("connection is open");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    loop {
        match within_deadline(slow.read(&mut part)).await.expect("connection is open") {
            0 => break,
            n => got += n,
        }
    }
    assert!(got > 32 << 20, "cut off after {got} bytes");
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}
