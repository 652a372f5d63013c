//! Unit tests of `src/bin/proxy/io/mod.rs`, which names this file.

use super::*;
use hyper::Request;
use hyper::body::Body;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};

/// Sends a request with a body of `body` bytes over a pipe, runs `peer` on the far end and then closes it. Returns
/// whether the request was written completely.
async fn is_written_after(body: usize, peer: impl AsyncFnOnce(&mut DuplexStream)) -> bool {
    let (near, mut far) = duplex(1024);
    LocalSet::new()
        .run_until(async {
            let watched = Watched::observing(TokioIo::new(near), Rc::default());
            let progress = watched.progress();
            let (mut sender, connection) = handshake(watched).await.expect("a handshake without I/O");
            spawn_local(async move {
                let _ = connection.await;
            });
            let body = Outgoing::new(vec![b'x'; body].into(), None, progress.clone());
            let request = Request::post("/").header("host", "b").body(body).expect("a valid request");
            let answer = spawn_local(async move { sender.send_request(request).await.is_ok() });
            peer(&mut far).await;
            drop(far);
            assert!(
                !answer.await.expect("the task must not panic"),
                "a request without a response must fail"
            );
            progress.is_written()
        })
        .await
}

/// Reads a request with a body of `body` bytes completely.
async fn read_request(far: &mut DuplexStream, body: usize) {
    let mut seen = Vec::new();
    while !seen.windows(4).any(|w| w == b"\r\n\r\n") || !seen.ends_with(&vec![b'x'; body]) {
        assert_ne!(
            far.read_buf(&mut seen).await.expect("the connection is open"),
            0,
            "the request is incomplete"
        );
    }
}

#[tokio::test]
async fn an_incomplete_request_is_not_reported_as_written() {
    // The peer reads a part of the request; the HTTP library still holds the rest.
    assert!(!is_written_after(60_000, async |far| drop(far.read(&mut [0; 512]).await)).await);
    assert!(!is_written_after(60_000, async |_| {}).await);
}

#[tokio::test]
async fn a_complete_request_is_reported_as_written() {
    assert!(is_written_after(60_000, async |far| read_request(far, 60_000).await).await);
    assert!(is_written_after(0, async |far| read_request(far, 0).await).await);
}

/// Without `Progress::abandon`, the HTTP library would write its buffered bytes once the peer reads again.
#[tokio::test]
async fn an_abandoned_request_is_not_written_further() {
    let (near, mut far) = duplex(1024);
    let run = async {
        let watched = Watched::observing(TokioIo::new(near), Rc::default());
        let progress = watched.progress();
        let (mut sender, connection) = handshake(watched).await.expect("a handshake without I/O");
        spawn_local(async move {
            let _ = connection.await;
        });
        let body = Outgoing::new(vec![b'x'; 60_000].into(), None, progress.clone());
        let request = Request::post("/").header("host", "b").body(body).expect("a valid request");
        let answer = spawn_local(async move { sender.send_request(request).await.is_ok() });
        let mut seen = Vec::new();
        far.read_buf(&mut seen).await.expect("the beginning of the request");
        progress.abandon();
        far.read_to_end(&mut seen).await.expect("the end of the stream");
        assert!(seen.len() < 60_000 && !progress.is_written(), "{} bytes", seen.len());
        assert!(!answer.await.expect("the task must not panic"), "a request without a response must fail");
    };
    LocalSet::new().run_until(run).await;
}

/// A request that was abandoned before its body was taken could take pieces that the next attempt sends.
#[tokio::test]
async fn an_abandoned_request_takes_nothing_of_its_body() {
    let progress = Rc::<Progress>::default();
    let mut body = Outgoing::new(vec![b'x'; 10].into(), None, progress.clone());
    progress.abandon();
    let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
    assert!(frame.expect("a frame or an error").is_err(), "the body was taken");
}

#[test]
fn conflicting_framing_headers_are_detected_for_any_chunk_size() {
    let has_conflict = |text: &str, chunk_size: usize| {
        let progress = Progress::default();
        progress.await_head();
        for bytes in text.as_bytes().chunks(chunk_size) {
            progress.head.borrow_mut().as_mut().expect("a head is awaited").read(bytes);
        }
        progress.has_conflicting_framing()
    };
    for chunk_size in [1, 7, 4096] {
        let both = "\r\nPOST / HTTP/1.1\r\nContent-LENGTH: 3\r\nHost: o\r\nTransfer-Encoding : x\r\n";
        assert!(!has_conflict(&format!("{both}\r\n"), chunk_size), "a header name cannot end in a space");
        let both = "POST / HTTP/1.1\r\ntransfer-encoding:chunked\r\nContent-LENGTH: 3\r\n\r\nabc";
        assert!(has_conflict(both, chunk_size));
        assert!(!has_conflict(&both[..both.len() - 5], chunk_size), "the head is incomplete");
        let body = "POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert!(!has_conflict(body, chunk_size), "the body is not part of the head");
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_without_progress_fails_after_the_stall_timeout() {
    // The peer stays open and reads nothing, so that only the timeout ends the write.
    assert!(!is_written_after(60_000, async |_| sleep(CLIENT_WRITE_STALL_TIMEOUT * 2).await).await);
    let (near, _far) = duplex(8);
    let mut watched = Watched::observing(TokioIo::new(near), Rc::default());
    let write = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, &[0; 8]));
    assert_eq!(write.await.expect("the pipe has room"), 8);
    let write = std::future::poll_fn(|cx| Pin::new(&mut watched).poll_write(cx, &[0; 8]));
    assert_eq!(write.await.expect_err("the peer does not read").kind(), io::ErrorKind::TimedOut);
}
