//! Long answers that a backend gives slowly.

use crate::backend::{start_proxy, start_proxy_with};
use crate::rig::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time for which the clients wait for the first bytes.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(800);

/// What a client has of an answer when its connection ends.
struct Received {
    status: String,
    /// Bytes of the body, with the framing of its chunks.
    body: usize,
    is_whole: bool,
    took: Duration,
}

/// Sends a request whose backend answers as `query` says, and reads until the connection ends.
async fn read_answer(proxy: &ProxyProcess, query: &str) -> Received {
    let mut stream =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts connections");
    let head = format!(
        "POST /once?a=1{query} HTTP/1.1\r\nHost: o\r\nReq-Id: {}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n",
        request_id(),
        CLIENT_TIMEOUT.as_millis()
    );
    stream.write_all(head.as_bytes()).await.expect("connection is open");
    let (sent, mut answer) = (Instant::now(), Vec::new());
    let _ = within_deadline(stream.read_to_end(&mut answer)).await;
    let took = sent.elapsed();
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
    let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
    let body = &answer[end..];
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with(b"0\r\n\r\n"),
    };
    Received { status: head[9..12].to_string(), body: body.len(), is_whole, took }
}

/// A long answer was cut off 0.25 s after its client's time, though the backend still gave it.
#[rstest]
#[case::with_length("")]
#[case::in_chunks("&chunked=1")]
#[case::until_close("&until_close=1")]
#[tokio::test]
async fn a_long_answer_goes_on_while_its_backend_gives(
    #[case] framing: &str,
    // 64 kB a second in pieces, and in lumps.
    #[values((8_000, 125), (32_000, 500), (100_000, 900))] (piece, every): (usize, u64),
) {
    let (_discovery, proxy) = start_proxy().await;
    let query = format!("&answer=200000&piece={piece}&every={every}{framing}");
    let answer = read_answer(&proxy, &query).await;
    assert_eq!(answer.status, "200");
    assert!(answer.is_whole, "cut off after {} bytes and {:?}", answer.body, answer.took);
}

/// An answer that stands still ends, so that it does not hold its connections for ever. A short one without a length has
/// its end within half a second after its client's time, by which a request must have its final answer.
#[rstest]
#[case::long_with_length("&answer=200000&give=100000", 10_000, 12_000)]
#[case::long_in_chunks("&answer=200000&give=100000&chunked=1", 10_000, 12_000)]
#[case::short_in_chunks("&answer=60000&give=30000&chunked=1", 800, 1_300)]
#[case::short_until_close("&answer=60000&give=30000&until_close=1", 800, 1_300)]
#[case::short_in_drops("&answer=60000&piece=1&every=50&chunked=1", 800, 1_300)]
#[tokio::test]
async fn an_answer_that_stands_still_ends(#[case] query: &str, #[case] least_ms: u64, #[case] most_ms: u64) {
    let (_discovery, proxy) = start_proxy().await;
    let answer = read_answer(&proxy, query).await;
    let (least, most) = (Duration::from_millis(least_ms), Duration::from_millis(most_ms));
    assert!(!answer.is_whole && answer.took >= least && answer.took < most, "ended after {:?}", answer.took);
}

/// A short answer with a length is held until it is whole, and its request fails in time if that is too late.
#[tokio::test]
async fn a_short_answer_that_comes_late_is_no_answer() {
    let (_discovery, proxy) = start_proxy().await;
    let answer = read_answer(&proxy, "&answer=60000&piece=6000&every=200").await;
    assert_eq!(answer.status, "502");
    assert!(answer.took < CLIENT_TIMEOUT + Duration::from_millis(500), "answered after {:?}", answer.took);
}

/// What a process that stops has begun to give goes on.
#[tokio::test]
async fn a_long_answer_goes_on_while_the_process_stops() {
    let (_discovery, mut proxy) = start_proxy_with(|config| config["limits"]["memory_mb"] = 32.into()).await;
    let proxy_addr = proxy.addr;
    let (began, mut stream) = (Instant::now(), TcpStream::connect(proxy_addr).await.expect("a connection"));
    let head = format!(
        "GET /look?answer=400000&piece=8000&every=100 HTTP/1.1\r\nHost: o\r\nReq-Id: {}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 800\r\n\r\n",
        request_id()
    );
    stream.write_all(head.as_bytes()).await.expect("connection is open");
    within_deadline(stream.readable()).await.expect("an answer");
    proxy.terminate().await;
    let mut answer = Vec::new();
    within_deadline(stream.read_to_end(&mut answer)).await.expect("the connection was not reset");
    assert!(answer.len() > 400_000, "cut off after {} bytes and {:?}", answer.len(), began.elapsed());
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
}
