//! The proxy closes a client's connection while bytes arrive: responses are read whole, and bytes that arrive after
//! the proxy ended its sending side reach no backend.

mod rig;
mod waits;

use rig::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Request line and headers without the final empty line.
fn head(class: &str, id: &str) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n"
    )
}

async fn connect_and_write(s: &ProxyFixture, text: &[u8]) -> TcpStream {
    let mut stream =
        within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("proxy accepts a connection");
    stream.write_all(text).await.expect("connection is open");
    stream
}

/// Reads until the proxy ends its sending side.
async fn read_until_fin(stream: &mut TcpStream) -> String {
    let mut response = String::new();
    within_deadline(stream.read_to_string(&mut response)).await.expect("connection ended without a reset");
    response
}

/// Writes after the proxy's FIN, ends the connection, and waits until the proxy holds no more descriptors than
/// before: by then a close over unread bytes would have reset the connection.
async fn assert_writes_after_fin_are_ignored(
    s: &ProxyFixture,
    mut stream: TcpStream,
    id: &str,
    before: usize,
) {
    let late = format!("{}\r\n", head("look", id));
    stream.write_all(late.as_bytes()).await.expect("connection was not reset");
    stream.write_all(&vec![b'x'; 100_000]).await.expect("connection was not reset");
    stream.shutdown().await.expect("connection was not reset");
    wait_for_descriptors(s, before).await;
    assert!(stream.take_error().expect("connection is open").is_none(), "{id}: reset");
    assert_eq!(stream.read(&mut [0; 16]).await.expect("connection was not reset"), 0);
    assert!(!reached_backend(s, id), "{id} was read after the FIN and forwarded");
}

/// Whether a backend got the request with this id.
fn reached_backend(s: &ProxyFixture, id: &str) -> bool {
    s.control.requests.borrow().iter().any(|(_, head, _)| match head.headers.get("req-id") {
        Some(seen) => seen == id,
        None => panic!("a backend got a request without an id, which no client of this test sends: {head:?}"),
    })
}

/// Waits until the proxy has no more than `most` descriptors open.
async fn wait_for_descriptors(s: &ProxyFixture, most: usize) {
    within_deadline(async {
        while s.proxy.descriptors() > most {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    })
    .await;
}

/// Connects the proxy to each backend and returns its number of descriptors without client connections.
async fn idle_descriptors(s: &ProxyFixture) -> usize {
    let initial = s.proxy.descriptors();
    while s.a.connections_total() * s.b.connections_total() == 0 {
        assert_eq!(s.proxy.call("look").await.0, 200);
    }
    let most = initial + s.a.connections_total() + s.b.connections_total();
    wait_for_descriptors(s, most).await;
    most
}

/// A request that is answered before all of it was read gets a response with `Connection: close`, which a client that
/// goes on writing can read whole.
#[tokio::test]
async fn a_response_before_the_whole_request_is_not_lost_in_a_reset() {
    let s = start_fixture(settings()).await;
    let before = idle_descriptors(&s).await;
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
        let mut stream = connect_and_write(&s, start.as_bytes()).await;
        let more = stream.write_all(&vec![b'x'; 600_000]).await;
        let expected = format!("HTTP/1.1 {status}");
        let mut first = [0; 12];
        within_deadline(stream.read_exact(&mut first)).await.expect("a response");
        assert_eq!(String::from_utf8_lossy(&first), expected, "{start}");
        more.unwrap_or_else(|e| panic!("{start}: {e}"));
        // The proxy reads to the end of a body only once the client has ended its side.
        stream.shutdown().await.unwrap_or_else(|e| panic!("{start}: {e}"));
        let rest = read_until_fin(&mut stream).await;
        assert!(rest.contains("\r\n\r\n"), "{start}: {rest}");
        assert!(n == 0 || rest.to_lowercase().contains("connection: close"), "{start}: {rest}");
        wait_for_descriptors(&s, before).await;
        assert!(stream.take_error().expect("connection is open").is_none(), "{start}: reset");
    }
    assert!(s.control.requests.borrow().iter().all(|(_, head, _)| head.uri.path() == "/look"));
}

/// A request with `Expect: 100-continue` that is rejected without its body closes the connection; otherwise the next
/// request on it would be read as that body.
#[tokio::test]
async fn a_rejection_before_an_announced_body_closes_the_connection() {
    let s = start_fixture(with_cap("openCap", 1.into())).await;
    let before = idle_descriptors(&s).await;
    let cases =
        [("nothing", "404", 1000), ("once", "413", 1 << 30), ("once", "503", 1000), ("once", "503", 1 << 20)];
    for (n, (class, status, length)) in cases.into_iter().enumerate() {
        let (release, seen) = (Arc::new(Notify::new()), s.control.requests.borrow().len());
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let mut busy = s.proxy.connect_client().await;
        let pending = tokio::spawn(async move { busy.call("look").await });
        s.control.wait_for_requests(seen + 1).await;
        let id = format!("announced{n}");
        let text = format!("{}Expect: 100-continue\r\nContent-Length: {length}\r\n\r\n", head(class, &id));
        let mut stream = connect_and_write(&s, text.as_bytes()).await;
        if status == "503" && length == 1000 {
            // A small body is asked for before the request is admitted or rejected.
            stream.write_all(&[b'x'; 1000]).await.expect("connection is open");
            let mut start = [0; 37];
            within_deadline(stream.read_exact(&mut start)).await.expect("a response");
            assert!(start.ends_with(b"HTTP/1.1 503"), "{}", String::from_utf8_lossy(&start));
        } else {
            let response = read_until_fin(&mut stream).await;
            assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
            assert!(response.to_lowercase().contains("connection: close"), "{response}");
        }
        release.notify_one();
        assert_eq!(pending.await.expect("task completed").0, 200);
        if status != "503" || length > 1000 {
            assert_writes_after_fin_are_ignored(&s, stream, &id, before + 1).await;
        }
    }
}

/// Bytes that are pipelined behind the last request or written after the FIN are not forwarded and cause no reset.
#[tokio::test]
async fn bytes_behind_the_last_request_are_dropped_without_a_reset() {
    let s = start_fixture(settings()).await;
    let before = idle_descriptors(&s).await;
    for n in 0..20 {
        let (first, second) = (head("once", &format!("last{n}")), head("once", &format!("behind{n}")));
        let text = format!("{first}Connection: close\r\n\r\n{second}\r\n");
        let mut stream = connect_and_write(&s, text.as_bytes()).await;
        let response = read_until_fin(&mut stream).await;
        assert!(
            response.starts_with("HTTP/1.1 200") && response.matches("HTTP/1.1").count() == 1,
            "{response}"
        );
        assert!(reached_backend(&s, &format!("last{n}")) && !reached_backend(&s, &format!("behind{n}")));
        assert_writes_after_fin_are_ignored(&s, stream, &format!("after{n}"), before).await;
    }
}

/// A client that sends nothing is disconnected; the request that it writes after the FIN reaches no backend.
#[tokio::test]
async fn a_silent_client_is_disconnected_without_a_reset() {
    let s = start_fixture(settings()).await;
    let before = idle_descriptors(&s).await;
    let mut silent = connect_and_write(&s, b"").await;
    assert_eq!(read_until_fin(&mut silent).await, "");
    assert_writes_after_fin_are_ignored(&s, silent, "silent", before).await;
}

/// During shutdown, a request on an idle connection is answered whole or, once the proxy ended its side, never
/// forwarded.
#[tokio::test]
async fn a_request_that_races_with_shutdown_is_answered_or_reaches_no_backend() {
    let mut s = start_fixture(settings()).await;
    let mut idle = Vec::new();
    for n in 0..40 {
        let mut stream =
            connect_and_write(&s, format!("{}\r\n", head("once", &format!("idle{n}"))).as_bytes()).await;
        let mut response = Vec::new();
        // The response body is the backend's name.
        while !response.ends_with(b"\r\n\r\na") && !response.ends_with(b"\r\n\r\nb") {
            assert_ne!(within_deadline(stream.read_buf(&mut response)).await.expect("connection is open"), 0);
        }
        idle.push(stream);
    }
    let open_descriptors = s.proxy.descriptors();
    s.proxy.terminate().await;
    let (mut late, mut answered) = (Vec::new(), Vec::new());
    for (n, mut stream) in idle.into_iter().enumerate() {
        if n % 2 == 0 {
            let id = format!("last{n}");
            stream
                .write_all(format!("{}\r\n", head("once", &id)).as_bytes())
                .await
                .expect("connection is open");
            let response = read_until_fin(&mut stream).await;
            assert!(response.starts_with("HTTP/1.1 200") && reached_backend(&s, &id), "{response}");
            answered.push(stream);
        } else {
            late.push((format!("late{n}"), stream));
        }
    }
    for (id, stream) in &mut late {
        assert_eq!(read_until_fin(stream).await, "");
        stream
            .write_all(format!("{}\r\n", head("once", id)).as_bytes())
            .await
            .expect("connection was not reset");
        stream.shutdown().await.expect("connection was not reset");
    }
    assert!(open_descriptors > 40);
    drop(answered);
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
    for (id, stream) in &late {
        assert!(stream.take_error().expect("connection is open").is_none(), "{id}: reset");
        assert!(!reached_backend(&s, id), "{id} was read after the FIN and forwarded");
    }
}

/// The assertions of this file on the requests that backends saw rely on this: a proxy that outlived an earlier test
/// would call discovery, without a request id, at a port that may belong to a backend by now.
#[tokio::test]
async fn dropping_the_fixture_ends_the_proxy_process() {
    let s = start_fixture(settings()).await;
    let process = s.proxy.proc_dir();
    assert!(process.exists());
    drop(s);
    assert!(!process.exists(), "the proxy outlives its test");
}
