//! Long bodies and answers.

use super::{chunked, head, text};
use crate::rig::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn long_bodies_and_answers_pass_unchanged() {
    let s = start_fixture(settings()).await;
    for (n, size) in [65_536, 65_537, 3_000_000].into_iter().enumerate() {
        for told in [true, false] {
            s.control.enqueue([
                BackendAction::LongBody { len: size, known_length: told },
                BackendAction::LongBody { len: size, known_length: told },
            ]);
            let body = text(size);
            let call = request("once").body(Full::from(body.clone())).expect("well formed");
            let (status, answer) = s.proxy.connect_client().await.send(call).await;
            assert_eq!((status, answer.len()), (200, size));
            assert_eq!(chunked(&s, size).await, (200, size));
            let seen = s.control.requests.borrow();
            let [.., (_, _, first), (_, _, second)] = &seen[..] else { panic!("two came") };
            assert_eq!(seen.len(), 4 * n + if told { 2 } else { 4 });
            assert!(*first == body && second.len() == size && second.iter().all(|b| *b == b'y'));
        }
    }
    s.control.enqueue([BackendAction::LongBody { len: 32 << 20, known_length: true }]);
    let call = request("keep").body(Full::from(text(32 << 20))).expect("well formed");
    assert_eq!(s.proxy.connect_client().await.send(call).await.1.len(), 32 << 20);
}

/// Sixteen times 8 MB in either direction: what is under way is a small part of it.
#[tokio::test]
async fn memory_is_bounded_whatever_the_bodies_size() {
    let s = start_fixture(settings()).await;
    s.control.enqueue((0..16).map(|n| BackendAction::LongBody { len: 8 << 20, known_length: n % 2 == 0 }));
    let mut calls = Vec::new();
    for _ in 0..16 {
        let mut caller = s.proxy.connect_client().await;
        calls.push(tokio::spawn(async move {
            caller.send(request("keep").body(Full::from(text(8 << 20))).expect("well formed")).await
        }));
    }
    for call in calls {
        let (status, answer) = call.await.expect("no panic");
        assert_eq!((status, answer.len()), (200, 8 << 20));
    }
    assert!(s.proxy.peak_memory_mb() < 32, "{} MB", s.proxy.peak_memory_mb());
}

/// An answer that nobody reads is not read from its backend either.
#[tokio::test]
async fn a_client_that_takes_nothing_holds_its_backend_back() {
    let s = start_fixture(settings()).await;
    s.control.enqueue((0..8).map(|_| BackendAction::LongBody { len: 32 << 20, known_length: true }));
    let mut idle = Vec::new();
    for n in 0..8 {
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        let head = format!(
            "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: idle{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("open");
        let mut start = [0; 12];
        within_deadline(stream.read_exact(&mut start)).await.expect("an answer begins");
        assert_eq!(&start, b"HTTP/1.1 200");
        idle.push(stream);
    }
    for _ in 0..20 {
        assert_eq!(s.proxy.call("look").await.0, 200, "others are served meanwhile");
    }
    assert!(s.proxy.peak_memory_mb() < 32, "{} MB", s.proxy.peak_memory_mb());
    // One of them goes on after all, and gets the whole of it.
    let (mut late, mut got) = (idle.remove(0), 0);
    let mut part = vec![0; 1 << 20];
    while got < 32 << 20 {
        let n = within_deadline(late.read(&mut part)).await.expect("open");
        assert_ne!(n, 0, "the answer ends after {got} bytes");
        got += n;
    }
}

/// Where nothing of a long body was passed on, it goes to the next backend whole; where some was, it is not sent
/// again, whatever its class.
#[tokio::test]
async fn a_long_body_is_sent_again_only_while_all_of_it_is_held() {
    let s = start_fixture(settings()).await;
    let body = text(1 << 20);
    let call = |class| request(class).body(Full::from(body.clone())).expect("well formed");
    for class in ["keep", "once"] {
        let heard = *s.control.partial_requests.borrow();
        s.control.enqueue([BackendAction::CloseAfterReading(200_000)]);
        let (status, _) = s.proxy.connect_client().await.send(call(class)).await;
        assert!((500..600).contains(&status), "{status}");
        assert_eq!((*s.control.partial_requests.borrow(), s.control.requests.borrow().len()), (heard + 1, 0));
    }
    let gone =
        tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr().expect("bound");
    s.discovery.publish(vec![endpoint_entry("a", gone, "SERVING"), s.b.endpoint_entry("SERVING")]).await;
    for n in 1..=6 {
        assert_eq!(s.proxy.connect_client().await.send(call("once")).await, (200, "b".into()));
        assert_eq!(s.control.requests.borrow().len(), n);
        assert_eq!(s.control.requests.borrow()[n - 1].2, body);
    }
}

#[tokio::test]
async fn a_long_answer_that_breaks_off_is_broken_for_the_client_too() {
    let s = start_fixture(settings()).await;
    for told in [true, false] {
        s.control.enqueue([BackendAction::TruncatedLongBody { len: 1 << 20, known_length: told }]);
        let mut caller = s.proxy.connect_client().await;
        let call = request("once").body(Full::<Bytes>::default()).expect("well formed");
        let answer = within_deadline(caller.0.send_request(call)).await.expect("it begins");
        assert_eq!(answer.status(), 200);
        assert!(
            within_deadline(answer.into_body().collect()).await.is_err(),
            "half an answer passed for a whole one"
        );
    }
    assert_eq!(s.control.requests.borrow().len(), 2, "none was sent again");
}

/// An upgrade day with large bodies: the old process ended 3.8 s after its stop with long answers under way.
#[tokio::test]
async fn a_stop_lets_long_answers_flow_on_and_begins_none_late() {
    let mut s = start_fixture(settings()).await;
    s.control.enqueue([
        BackendAction::LongBody { len: 32 << 20, known_length: true },
        BackendAction::LongBody { len: 1 << 20, known_length: true },
    ]);
    let mut slow = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    let text = format!("{}Connection: close\r\n\r\n", head("1.1", "look", "long"));
    slow.write_all(text.as_bytes()).await.expect("open");
    let mut part = vec![0; 1 << 16];
    within_deadline(slow.read_exact(&mut part[..12])).await.expect("an answer begins");
    let mut late = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    let text = format!("{}Content-Length: 100000\r\n\r\n", head("1.1", "once", "late"));
    late.write_all(text.as_bytes()).await.expect("open");
    late.write_all(&vec![b'x'; 50_000]).await.expect("open");
    s.proxy.terminate().await;
    let stopped = Instant::now();
    tokio::time::sleep(Duration::from_millis(900)).await;
    late.write_all(&vec![b'x'; 50_000]).await.expect("open");
    let mut answer = String::new();
    within_deadline(late.read_to_string(&mut answer)).await.expect("closed, not reset");
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    // The slow one takes a little now and then, past the time in which all that is short has its answer.
    let mut got = 12;
    while stopped.elapsed() < Duration::from_millis(4500) {
        got += within_deadline(slow.read(&mut part)).await.expect("open");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    loop {
        match within_deadline(slow.read(&mut part)).await.expect("open") {
            0 => break,
            n => got += n,
        }
    }
    assert!(got > 32 << 20, "cut off after {got} bytes");
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}
