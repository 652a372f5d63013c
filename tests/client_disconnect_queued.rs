//! Clients that disconnect while their request is queued: it is never sent, whatever bytes are unread before the FIN.

mod rig;
mod waits;

use http_body_util::Full;
use rig::*;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Head, without framing headers, of a request with the same ordering key as those of `request`.
const HEAD: &str = "POST /keep?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Id: gone\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nIdempotency-Key: 5c\r\n";

/// Far more bytes than the proxy's socket buffers hold, so that the FIN is queued behind data that it does not read.
const BEYOND_BUFFERS: usize = 200_000;
/// More than the proxy buffers of a body, but less than the socket buffers hold.
const LONG_BODY: usize = 80_000;

/// Way in which a client disconnects.
enum Disconnect {
    Close,
    /// Ends the sending side and keeps reading.
    HalfClose,
    Reset,
}

/// Starts a fixture in which the requests of one key are sent one at a time.
async fn start_with_key_order() -> ProxyFixture {
    let mut settings = settings();
    settings["classes"][1]["fifoByKey"] = true.into();
    start_fixture_with(settings, |config| config["ops"] = "127.0.0.1:0".into()).await
}

/// Waits until the counters page reports `n` requests in flight.
async fn wait_for_in_flight(s: &ProxyFixture, n: usize) {
    let expected = format!("\"in_flight\":{n},");
    timeout(Duration::from_secs(5), async {
        while !s.proxy.ops_call("counters").await.contains(&expected) {}
    })
    .await
    .expect("the proxy counts arrivals and disconnects");
}

/// Waits until the proxy has no more than `most` descriptors open.
async fn wait_for_descriptors(s: &ProxyFixture, most: usize) {
    timeout(Duration::from_secs(5), async {
        while s.proxy.descriptors() > most {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the proxy closes the connection of a disconnected client");
}

/// Request with these framing headers, followed by a body or any other bytes.
fn framed(framing: &str, rest: &[u8]) -> Vec<u8> {
    [HEAD.as_bytes(), framing.as_bytes(), b"\r\n\r\n", rest].concat()
}

fn pipelined() -> Vec<u8> {
    let next = HEAD.replace("gone", "gone too");
    framed("Content-Length: 2", &[b"me", next.as_bytes(), b"Content-Length: 0\r\n\r\n"].concat())
}

/// A request is queued behind an earlier one with its key, and its client disconnects before the earlier one completes.
#[rstest]
#[case::nothing(framed("Content-Length: 0", b""))]
#[case::stray_bytes(framed("Content-Length: 0", b"stray"))]
#[case::more_than_the_socket_buffers(framed("Content-Length: 0", &[b'x'; BEYOND_BUFFERS]))]
#[case::less_than_the_socket_buffers(framed("Content-Length: 0", &[b'x'; LONG_BODY]))]
#[case::another_request(pipelined())]
#[case::a_long_body(framed(&format!("Content-Length: {LONG_BODY}"), &[b'x'; LONG_BODY]))]
#[case::half_a_long_body(framed(&format!("Content-Length: {BEYOND_BUFFERS}"), &[b'x'; LONG_BODY]))]
#[case::a_long_body_and_stray_bytes(framed(&format!("Content-Length: {}", LONG_BODY - 10), &[b'x'; LONG_BODY]))]
#[case::a_body_before_100_continue(framed(&format!("Content-Length: {BEYOND_BUFFERS}\r\nExpect: 100-continue"), b""))]
#[tokio::test]
async fn a_queued_request_whose_client_disconnected_is_never_sent(
    #[case] text: Vec<u8>,
    #[values(Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset)] disconnect: Disconnect,
) {
    let s = start_with_key_order().await;
    let first = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(first.clone())]);
    let mut first_client = s.proxy.connect_client().await;
    let pending = tokio::spawn(async move { first_client.call("keep").await });
    s.control.wait_for_requests(1).await;
    let before = s.proxy.descriptors();
    let mut client =
        within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("proxy accepts a connection");
    within_deadline(client.write_all(&text)).await.expect("the socket buffers hold the request");
    // The proxy accepts the connection first: one that opens and closes in the same instant may go unnoticed.
    within_deadline(async {
        while s.proxy.descriptors() <= before {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    match disconnect {
        Disconnect::Close => drop(client),
        Disconnect::HalfClose => {
            client.shutdown().await.expect("connection is open");
            let mut response = Vec::new();
            let end = timeout(Duration::from_secs(5), client.read_to_end(&mut response)).await;
            // A close over unread bytes is a reset.
            let _ = end.expect("the connection of a half-closed client ends");
            assert!(!response.starts_with(b"HTTP/1.1 200"));
        }
        Disconnect::Reset => {
            client.set_zero_linger().expect("connection is open");
            drop(client);
        }
    }
    wait_for_descriptors(&s, before).await;
    wait_for_in_flight(&s, 1).await;
    first.notify_one();
    assert_eq!(pending.await.expect("task completed").0, 200);
    let next = request("keep").body(Full::default()).expect("valid request");
    let name = next.headers()["req-id"].clone();
    assert_eq!(s.proxy.connect_client().await.send(next).await.0, 200);
    let seen = s.control.requests.borrow();
    assert_eq!(seen.len(), 2, "a backend has the abandoned request");
    assert_eq!(seen[1].1.headers["req-id"], name);
}
