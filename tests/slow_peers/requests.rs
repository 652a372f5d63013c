//! Long requests whose backend reads slowly or stops.

use crate::backend::start_proxy_with;
use crate::rig::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Time for which the clients wait.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the client's timeout within which it must have its answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Sends the head of a request whose backend reads as `backend` says. Returns the connection, and the body to send.
async fn connect(
    proxy: &ProxyProcess,
    backend: &str,
    (length, chunked): (usize, bool),
    client_timeout: Duration,
) -> (TcpStream, Vec<u8>) {
    let mut stream =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts connections");
    let framing =
        if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {length}") };
    let head = format!(
        "POST /once?{backend} HTTP/1.1\r\nHost: o\r\nReq-Id: {}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {}\r\n\
         {framing}\r\n\r\n",
        request_id(),
        client_timeout.as_millis()
    );
    stream.write_all(head.as_bytes()).await.expect("connection is open");
    let body = vec![b'x'; length];
    let chunk = |data: &[u8]| [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
    let chunks = || body.chunks(10_000).map(chunk).chain([b"0\r\n\r\n".to_vec()]).flatten().collect();
    let body = if chunked { chunks() } else { body };
    (stream, body)
}

/// The final answer came seconds after its time, since the time of a body that nothing read did not run.
#[rstest]
#[tokio::test]
async fn the_final_answer_is_in_time_whatever_the_backend_reads(
    #[values(192, 32, 0)] memory_mb: u64,
    #[values(300_000, 5_000_000, 8_000_000, 12_000_000)] length: usize,
    #[values(true, false)] chunked: bool,
    #[values("read=20000", "read_every=40", "read_every=400")] backend: &str,
) {
    let (_discovery, proxy) =
        start_proxy_with(|config| config["limits"]["memory_mb"] = memory_mb.into()).await;
    let (mut stream, body) = connect(&proxy, backend, (length, chunked), CLIENT_TIMEOUT).await;
    // A client that cannot write its last byte has its answer before.
    let (mut read, mut write) = stream.split();
    let mut sent = Instant::now();
    let mut status = [0; 12];
    let mut written = false;
    within_deadline(async {
        let (read, write) = tokio::join!(read.read_exact(&mut status), async {
            let result = write.write_all(&body).await;
            (sent, written) = (Instant::now(), true);
            result
        });
        (read.expect("an answer"), write)
    })
    .await
    .1
    .ok();
    let took = sent.elapsed();
    let status = String::from_utf8_lossy(&status[9..]).to_string();
    assert!(["200", "502", "503", "504"].contains(&status.as_str()), "{status}");
    assert!(took < CLIENT_TIMEOUT + ANSWER_GRACE, "{status} {took:?} after the last byte");
    assert!(written);
}

/// The other side: the time of a client that writes for longer than it waits has not begun.
#[rstest]
#[tokio::test]
async fn a_slow_client_has_its_whole_time(
    #[values(192, 0)] memory_mb: u64,
    #[values(true, false)] chunked: bool,
    // 64 kB a second, 1 MB a second, and as fast as a backend takes that needs 6 s for 32 MB.
    #[values((200_000, 8_000, 125, ""), (3_000_000, 50_000, 50, ""), (200_000, 800, 12, ""), (32_000_000, 32_000_000, 0, "read_burst=500000"))]
    (length, piece, pause, backend): (usize, usize, u64, &str),
) {
    let (_discovery, proxy) =
        start_proxy_with(|config| config["limits"]["memory_mb"] = memory_mb.into()).await;
    let client_timeout = if backend.is_empty() { CLIENT_TIMEOUT } else { 3 * CLIENT_TIMEOUT };
    let (mut stream, body) = connect(&proxy, backend, (length, chunked), client_timeout).await;
    let sending = async {
        for piece in body.chunks(piece) {
            stream.write_all(piece).await.expect("connection is open");
            sleep(Duration::from_millis(pause)).await;
        }
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.expect("an answer");
        status
    };
    assert_eq!(&within_deadline(sending).await[9..], b"200");
}
