//! The proxy closes a client's connection while bytes arrive: what was answered is read whole, and what comes after
//! the proxy ended its sending side reaches no backend.

mod rig;
mod waits;

use rig::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A request's head without its last line.
fn head(class: &str, id: &str) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n"
    )
}

async fn open(s: &ProxyFixture, text: &[u8]) -> TcpStream {
    let mut stream = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("it listens");
    stream.write_all(text).await.expect("open");
    stream
}

/// Reads until the proxy ends its sending side.
async fn to_the_end(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    within_deadline(stream.read_to_string(&mut answer)).await.expect("ended, not reset");
    answer
}

/// Writes on the proxy's FIN, goes, and waits until the proxy holds no more descriptors than before: by then a close
/// over unread bytes would have reset the connection.
async fn writes_on_the_end(s: &ProxyFixture, mut stream: TcpStream, id: &str, before: usize) {
    let late = format!("{}\r\n", head("look", id));
    stream.write_all(late.as_bytes()).await.expect("not reset");
    stream.write_all(&vec![b'x'; 100_000]).await.expect("not reset");
    stream.shutdown().await.expect("not reset");
    settles(s, before).await;
    assert!(stream.take_error().expect("open").is_none(), "{id}: reset");
    assert_eq!(stream.read(&mut [0; 16]).await.expect("not reset"), 0);
    assert!(!reached(s, id), "{id} was read after the end and sent on");
}

fn reached(s: &ProxyFixture, id: &str) -> bool {
    s.control.requests.borrow().iter().any(|(_, head, _)| match head.headers.get("req-id") {
        Some(came) => came == id,
        None => panic!("a backend was asked without an id, by no client of this test: {head:?}"),
    })
}

/// Waits until the program has no more descriptors open than so many.
async fn settles(s: &ProxyFixture, most: usize) {
    within_deadline(async {
        while s.proxy.descriptors() > most {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

/// The descriptors of a proxy that has a connection to each backend and none to clients.
async fn at_rest(s: &ProxyFixture) -> usize {
    let none = s.proxy.descriptors();
    while s.a.connections_total() * s.b.connections_total() == 0 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    let most = none + s.a.connections_total() + s.b.connections_total();
    settles(s, most).await;
    most
}

/// What is answered before all of it was read: the answer says that the connection goes, and is read whole by a client
/// that goes on writing.
#[tokio::test]
async fn an_answer_before_all_was_read_is_not_lost_in_a_reset() {
    let s = start_fixture(settings()).await;
    let before = at_rest(&s).await;
    let framed = |start: &str, length: usize| format!("{start}Content-Length: {length}\r\n\r\n");
    let cases = [
        ("400", "GET /look\r\n\r\n".to_string()),
        ("400", framed(&head("once", "two").replace("Host", "Content-Length: 1\r\nHost"), 1 << 20)),
        ("400", framed("POST /once HTTP/1.1\r\nHost: o\r\n", 1 << 20)),
        ("400", framed(&head("look", "get"), 1 << 20)),
        ("404", framed(&head("nothing", "nothing"), 1 << 20)),
        ("405", framed(&head("once", "put").replace("POST", "PUT"), 1 << 20)),
        ("413", framed(&head("once", "long"), 1 << 30)),
        ("431", format!("GET /look HTTP/1.1\r\nLong: {}", "x".repeat(40_000))),
    ];
    for (n, (status, start)) in cases.into_iter().enumerate() {
        let mut stream = open(&s, start.as_bytes()).await;
        let more = stream.write_all(&vec![b'x'; 600_000]).await;
        let expected = format!("HTTP/1.1 {status}");
        let mut first = [0; 12];
        within_deadline(stream.read_exact(&mut first)).await.expect("answered");
        assert_eq!(String::from_utf8_lossy(&first), expected, "{start}");
        more.unwrap_or_else(|e| panic!("{start}: {e}"));
        // Only a client that is done writing is seen to the end of a body.
        stream.shutdown().await.unwrap_or_else(|e| panic!("{start}: {e}"));
        let rest = to_the_end(&mut stream).await;
        assert!(rest.contains("\r\n\r\n"), "{start}: {rest}");
        assert!(n == 0 || rest.to_lowercase().contains("connection: close"), "{start}: {rest}");
        settles(&s, before).await;
        assert!(stream.take_error().expect("open").is_none(), "{start}: reset");
    }
    assert!(s.control.requests.borrow().iter().all(|(_, head, _)| head.uri.path() == "/look"));
}

/// Who announced its body and is turned down without it keeps no connection on which its next request would be taken
/// for that body.
#[tokio::test]
async fn who_is_turned_down_before_its_body_is_let_go_at_once() {
    let s = start_fixture(with_cap("openCap", 1.into())).await;
    let before = at_rest(&s).await;
    let cases =
        [("nothing", "404", 1000), ("once", "413", 1 << 30), ("once", "503", 1000), ("once", "503", 1 << 20)];
    for (n, (class, status, length)) in cases.into_iter().enumerate() {
        let (release, seen) = (Arc::new(Notify::new()), s.control.requests.borrow().len());
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let mut busy = s.proxy.connect_client().await;
        let held = tokio::spawn(async move { busy.call("look").await });
        s.control.wait_for_requests(seen + 1).await;
        let id = format!("announced{n}");
        let text = format!("{}Expect: 100-continue\r\nContent-Length: {length}\r\n\r\n", head(class, &id));
        let mut stream = open(&s, text.as_bytes()).await;
        if status == "503" && length == 1000 {
            // A body that is small is asked for before the request is decided.
            stream.write_all(&[b'x'; 1000]).await.expect("open");
            let mut start = [0; 37];
            within_deadline(stream.read_exact(&mut start)).await.expect("answered");
            assert!(start.ends_with(b"HTTP/1.1 503"), "{}", String::from_utf8_lossy(&start));
        } else {
            let answer = to_the_end(&mut stream).await;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
            assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
        }
        release.notify_one();
        assert_eq!(held.await.expect("no panic").0, 200);
        if status != "503" || length > 1000 {
            writes_on_the_end(&s, stream, &id, before + 1).await;
        }
    }
}

/// What is pipelined behind the last request, or written on the FIN, is neither sent on nor resets the connection.
#[tokio::test]
async fn what_follows_the_last_request_is_dropped_without_a_reset() {
    let s = start_fixture(settings()).await;
    let before = at_rest(&s).await;
    for n in 0..20 {
        let (first, second) = (head("once", &format!("last{n}")), head("once", &format!("behind{n}")));
        let text = format!("{first}Connection: close\r\n\r\n{second}\r\n");
        let mut stream = open(&s, text.as_bytes()).await;
        let answer = to_the_end(&mut stream).await;
        assert!(answer.starts_with("HTTP/1.1 200") && answer.matches("HTTP/1.1").count() == 1, "{answer}");
        assert!(reached(&s, &format!("last{n}")) && !reached(&s, &format!("behind{n}")));
        writes_on_the_end(&s, stream, &format!("after{n}"), before).await;
    }
}

/// A peer that said nothing is let go; the request that it writes on the FIN reaches nobody.
#[tokio::test]
async fn a_silent_peer_is_let_go_without_a_reset() {
    let s = start_fixture(settings()).await;
    let before = at_rest(&s).await;
    let mut silent = open(&s, b"").await;
    assert_eq!(to_the_end(&mut silent).await, "");
    writes_on_the_end(&s, silent, "silent", before).await;
}

/// At a stop, a request on a connection at rest is answered whole or, once the proxy ended its side, never sent on.
#[tokio::test]
async fn a_request_that_crosses_a_stop_is_answered_or_reaches_nobody() {
    let mut s = start_fixture(settings()).await;
    let mut resting = Vec::new();
    for n in 0..40 {
        let mut stream = open(&s, format!("{}\r\n", head("once", &format!("rests{n}"))).as_bytes()).await;
        let mut answer = Vec::new();
        // Its body is the backend's name.
        while !answer.ends_with(b"\r\n\r\na") && !answer.ends_with(b"\r\n\r\nb") {
            assert_ne!(within_deadline(stream.read_buf(&mut answer)).await.expect("open"), 0);
        }
        resting.push(stream);
    }
    let others = s.proxy.descriptors();
    s.proxy.terminate().await;
    let (mut late, mut held) = (Vec::new(), Vec::new());
    for (n, mut stream) in resting.into_iter().enumerate() {
        if n % 2 == 0 {
            let id = format!("last{n}");
            stream.write_all(format!("{}\r\n", head("once", &id)).as_bytes()).await.expect("open");
            let answer = to_the_end(&mut stream).await;
            assert!(answer.starts_with("HTTP/1.1 200") && reached(&s, &id), "{answer}");
            held.push(stream);
        } else {
            late.push((format!("late{n}"), stream));
        }
    }
    for (id, stream) in &mut late {
        assert_eq!(to_the_end(stream).await, "");
        stream.write_all(format!("{}\r\n", head("once", id)).as_bytes()).await.expect("not reset");
        stream.shutdown().await.expect("not reset");
    }
    assert!(others > 40);
    drop(held);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
    for (id, stream) in &late {
        assert!(stream.take_error().expect("open").is_none(), "{id}: reset");
        assert!(!reached(&s, id), "{id} was read after the end and sent on");
    }
}

/// What this file asserts of requests that backends saw holds only while no program of an earlier test, which asks for its
/// list without an id, calls a port that is a backend's by now.
#[tokio::test]
async fn a_program_is_gone_once_its_scene_is_dropped() {
    let s = start_fixture(settings()).await;
    let process = s.proxy.proc_dir();
    assert!(process.exists());
    drop(s);
    assert!(!process.exists(), "it outlives its test");
}
