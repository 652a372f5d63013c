//! HTTP framing: stalled bodies, `Expect: 100-continue`, rejections while a body is sent, and bodies that are not
//! buffered.

use super::{head, send_chunked, text};
use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A client that stops half-way through its body gets a 408 in time, and no backend sees the request, whatever its
/// size.
#[tokio::test]
async fn a_body_that_stalls_half_way_is_answered_408() {
    let s = start_fixture(settings()).await;
    for (n, length) in [1000, 1_000_000].into_iter().enumerate() {
        let connected = Instant::now();
        let mut peer = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
        let head = format!(
            "POST /once HTTP/1.1\r\nHost: o\r\nReq-Id: stop{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nContent-Length: {length}\r\n\r\n"
        );
        peer.write_all(head.as_bytes()).await.expect("connection is open");
        peer.write_all(&vec![b'x'; length / 2]).await.expect("connection is open");
        let mut response = String::new();
        within_deadline(peer.read_to_string(&mut response)).await.expect("connection closed without a reset");
        assert!(response.starts_with("HTTP/1.1 408"), "{response:?}");
        assert!(connected.elapsed() < Duration::from_secs(3), "{:?}", connected.elapsed());
    }
    assert_eq!(s.control.requests.borrow().len(), 0);
    assert_eq!(s.proxy.call("look").await.0, 200);
}

/// Without buffer memory, small bodies and responses are streamed unchanged too, and their requests are not retried.
#[tokio::test]
async fn without_buffer_memory_small_bodies_are_streamed_and_not_retried() {
    for (memory_mb, status_after_close) in [(192, 200), (0, 503)] {
        let s =
            start_fixture_with(settings(), |config| config["limits"]["memory_mb"] = memory_mb.into()).await;
        for known_length in [true, false] {
            s.control.enqueue([
                BackendAction::LongBody { len: 5000, known_length },
                BackendAction::LongBody { len: 5000, known_length },
            ]);
            let call = request("keep").body(Full::from(text(1000))).expect("valid request");
            assert_eq!(s.proxy.connect_client().await.send(call).await.1.len(), 5000);
            assert_eq!(s.control.requests.borrow().last().expect("a recorded request").2, text(1000));
            assert_eq!(send_chunked(&s, 3000).await, (200, 5000));
        }
        s.control.enqueue([BackendAction::CloseConnection]);
        let call = request("keep").body(Full::from(text(1000))).expect("valid request");
        assert_eq!(s.proxy.connect_client().await.send(call).await.0, status_after_close);
    }
}

/// A rejection that is sent in the middle of a long body reaches a client that is still writing.
#[tokio::test]
async fn a_rejection_reaches_a_client_that_is_still_writing() {
    let s = start_fixture(with_cap("openCap", 1.into())).await;
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let mut busy = s.proxy.connect_client().await;
    let _pending = tokio::spawn(async move { busy.call("look").await });
    s.control.wait_for_requests(1).await;
    let call = request("once").body(Full::from(text(4 << 20))).expect("valid request");
    assert_eq!(s.proxy.connect_client().await.send(call).await.0, 503);
}

/// Writes `text` to a new connection and reads until the proxy closes it.
async fn exchange(s: &ProxyFixture, text: &str) -> String {
    let mut stream = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
    stream.write_all(text.as_bytes()).await.expect("connection is open");
    let mut response = String::new();
    within_deadline(stream.read_to_string(&mut response)).await.expect("connection closed without a reset");
    response
}

#[tokio::test]
async fn every_http_framing_is_parsed_and_malformed_requests_get_400() {
    let s = start_fixture(settings()).await;
    let close = "Connection: close\r\n";
    let pipelined = format!("{}\r\n{}{close}\r\n", head("1.1", "look", "p1"), head("1.1", "look", "p2"));
    let answers = exchange(&s, &pipelined).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert!(exchange(&s, &format!("{}\r\n", head("1.0", "look", "old"))).await.contains(" 200"));
    let trailers = format!(
        "{}{close}Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\nSum: 1\r\n\r\n",
        head("1.1", "once", "chunks")
    );
    assert!(exchange(&s, &trailers).await.starts_with("HTTP/1.1 200"));
    assert_eq!(s.control.requests.borrow().last().expect("a recorded request").2, "abcdefg");
    let seen_before = s.control.requests.borrow().len();
    let chunks = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let malformed = [
        format!("{}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", head("1.1", "once", "two")),
        format!("{}Content-Length: -1\r\n\r\n", head("1.1", "once", "minus")),
        format!("{}Transfer-Encoding: gzip\r\n\r\nabcd", head("1.1", "once", "gzip")),
        format!("{}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head("1.0", "once", "early")),
        "GET /look\r\n\r\n".to_string(),
        format!("{}Content-Length: 3\r\n{chunks}", head("1.1", "once", "lc")),
        format!(
            "{}Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
            head("1.1", "once", "cl")
        ),
        format!("{}Transfer-Encoding: chunked\r\n\r\nxyz\r\n", head("1.1", "once", "size")),
    ];
    for text in malformed {
        let response = exchange(&s, &text).await;
        assert!(
            response.starts_with("HTTP/1.1 400") || response.starts_with("HTTP/1.0 400"),
            "{text}: {response}"
        );
    }
    // A malformed second request on a connection whose first body looks like a request head.
    let mut stream = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
    let head_like_body = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let first = format!(
        "{}Content-Length: {}\r\n\r\n{head_like_body}",
        head("1.1", "once", "first"),
        head_like_body.len()
    );
    stream.write_all(first.as_bytes()).await.expect("connection is open");
    let mut start = [0; 12];
    within_deadline(stream.read_exact(&mut start)).await.expect("a response");
    assert_eq!(&start, b"HTTP/1.1 200");
    let second = format!("{}Content-Length: 3\r\n{chunks}", head("1.1", "once", "second"));
    stream.write_all(second.as_bytes()).await.expect("connection is open");
    let mut rest = String::new();
    within_deadline(stream.read_to_string(&mut rest)).await.expect("connection closed without a reset");
    assert!(rest.contains("HTTP/1.1 400"), "{rest}");
    assert_eq!(s.control.requests.borrow().len(), seen_before + 1, "a malformed request reached a backend");
}

/// A client that sends `Expect: 100-continue` gets the interim response, for a buffered and for a streamed body.
#[tokio::test]
async fn expect_100_continue_is_answered_before_the_body() {
    let s = start_fixture(settings()).await;
    for length in [1000, 500_000] {
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("proxy accepts a connection");
        let head = format!(
            "{}Connection: close\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n",
            head("1.1", "once", &format!("announced{length}"))
        );
        stream.write_all(head.as_bytes()).await.expect("connection is open");
        let mut interim = [0; 25];
        within_deadline(stream.read_exact(&mut interim)).await.expect("100 Continue");
        assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(&text(length)).await.expect("connection is open");
        let mut response = String::new();
        within_deadline(stream.read_to_string(&mut response))
            .await
            .expect("connection closed without a reset");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(s.control.requests.borrow().last().expect("a recorded request").2.len(), length);
    }
}
