//! The forms of HTTP: framing, bodies that stop, are announced, refused or not held.

use super::{chunked, head, text};
use crate::rig::*;
use http_body_util::Full;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Who stops half-way through its body hears so in time; small or large, it reaches no backend as a request.
#[tokio::test]
async fn a_body_that_stops_half_way_is_not_waited_for() {
    let s = start_fixture(settings()).await;
    for (n, length) in [1000, 1_000_000].into_iter().enumerate() {
        let connected = Instant::now();
        let mut peer = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        let head = format!(
            "POST /once HTTP/1.1\r\nHost: o\r\nReq-Id: stop{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nContent-Length: {length}\r\n\r\n"
        );
        peer.write_all(head.as_bytes()).await.expect("open");
        peer.write_all(&vec![b'x'; length / 2]).await.expect("open");
        let mut answer = String::new();
        within_deadline(peer.read_to_string(&mut answer)).await.expect("closed, not reset");
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer:?}");
        assert!(connected.elapsed() < Duration::from_secs(3), "{:?}", connected.elapsed());
    }
    assert_eq!(s.control.requests.borrow().len(), 0);
    assert_eq!(s.proxy.call("look").await.0, 200);
}

/// Where there is no room to hold them, small bodies and answers flow too: unchanged, and not to be sent again.
#[tokio::test]
async fn without_room_to_hold_them_small_bodies_flow() {
    for (memory, again) in [(192, 200), (0, 503)] {
        let s = start_fixture_with(settings(), |config| config["limits"]["memory_mb"] = memory.into()).await;
        for told in [true, false] {
            s.control.enqueue([
                BackendAction::LongBody { len: 5000, known_length: told },
                BackendAction::LongBody { len: 5000, known_length: told },
            ]);
            let call = request("keep").body(Full::from(text(1000))).expect("well formed");
            assert_eq!(s.proxy.connect_client().await.send(call).await.1.len(), 5000);
            assert_eq!(s.control.requests.borrow().last().expect("it came").2, text(1000));
            assert_eq!(chunked(&s, 3000).await, (200, 5000));
        }
        s.control.enqueue([BackendAction::CloseConnection]);
        let call = request("keep").body(Full::from(text(1000))).expect("well formed");
        assert_eq!(s.proxy.connect_client().await.send(call).await.0, again);
    }
}

/// A refusal in the middle of a long body gets through to a client that is still writing.
#[tokio::test]
async fn a_refusal_reaches_a_client_that_is_still_writing() {
    let s = start_fixture(with_cap("openCap", 1.into())).await;
    s.control.enqueue([BackendAction::ServeAfter(Arc::new(Notify::new()))]);
    let mut busy = s.proxy.connect_client().await;
    let _held = tokio::spawn(async move { busy.call("look").await });
    s.control.wait_for_requests(1).await;
    let call = request("once").body(Full::from(text(4 << 20))).expect("well formed");
    assert_eq!(s.proxy.connect_client().await.send(call).await.0, 503);
}

/// Writes text as it is, and reads until the proxy closes.
async fn exchange(s: &ProxyFixture, text: &str) -> String {
    let mut stream = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    stream.write_all(text.as_bytes()).await.expect("open");
    let mut answer = String::new();
    within_deadline(stream.read_to_string(&mut answer)).await.expect("closed, not reset");
    answer
}

#[tokio::test]
async fn the_forms_of_http_are_understood() {
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
    assert_eq!(s.control.requests.borrow().last().expect("it came").2, "abcdefg");
    let came = s.control.requests.borrow().len();
    let chunks = "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let wrong = [
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
    for text in wrong {
        let answer = exchange(&s, &text).await;
        assert!(answer.starts_with("HTTP/1.1 400") || answer.starts_with("HTTP/1.0 400"), "{text}: {answer}");
    }
    // The second request of a connection, after one whose body looks like a head.
    let mut stream = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    let looks = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
    let first = format!("{}Content-Length: {}\r\n\r\n{looks}", head("1.1", "once", "first"), looks.len());
    stream.write_all(first.as_bytes()).await.expect("open");
    let mut start = [0; 12];
    within_deadline(stream.read_exact(&mut start)).await.expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 200");
    let second = format!("{}Content-Length: 3\r\n{chunks}", head("1.1", "once", "second"));
    stream.write_all(second.as_bytes()).await.expect("open");
    let mut rest = String::new();
    within_deadline(stream.read_to_string(&mut rest)).await.expect("closed, not reset");
    assert!(rest.contains("HTTP/1.1 400"), "{rest}");
    assert_eq!(s.control.requests.borrow().len(), came + 1, "none of the wrong ones reached a backend");
}

/// A caller that waits to be asked for its body is asked, once there is somebody to take it.
#[tokio::test]
async fn a_body_that_is_announced_is_asked_for() {
    let s = start_fixture(settings()).await;
    for length in [1000, 500_000] {
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        let head = format!(
            "{}Connection: close\r\nExpect: 100-continue\r\nContent-Length: {length}\r\n\r\n",
            head("1.1", "once", &format!("announced{length}"))
        );
        stream.write_all(head.as_bytes()).await.expect("open");
        let mut go_on = [0; 25];
        within_deadline(stream.read_exact(&mut go_on)).await.expect("asked for");
        assert_eq!(&go_on, b"HTTP/1.1 100 Continue\r\n\r\n");
        stream.write_all(&text(length)).await.expect("open");
        let mut answer = String::new();
        within_deadline(stream.read_to_string(&mut answer)).await.expect("closed, not reset");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(s.control.requests.borrow().last().expect("it came").2.len(), length);
    }
}
