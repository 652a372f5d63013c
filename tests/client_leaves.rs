//! Clients that leave while their request waits: it is never sent, whatever lies unread before their end.

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

/// The head of a request about the key that `request` names, but for its framing.
const HEAD: &str = "POST /keep?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Id: gone\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\nIdempotency-Key: 5c\r\n";

/// Far more than the systems' buffers take at the proxy: the client's end is behind what it has no room for.
const MUCH: usize = 200_000;
/// More than is held of a body, and yet room is there for all of it.
const LONG_BODY: usize = 80_000;

/// How a client leaves.
enum Leaves {
    /// It closes.
    Closes,
    /// It ends its sending, and may still read.
    Ends,
    /// It resets.
    Resets,
}

/// A scene in which requests about a key are sent one at a time.
async fn in_order() -> ProxyFixture {
    let mut settings = settings();
    settings["classes"][1]["fifoByKey"] = true.into();
    start_fixture_with(settings, |config| config["ops"] = "127.0.0.1:0".into()).await
}

/// Waits until the proxy has so many requests whole and unanswered.
async fn in_flight(s: &ProxyFixture, n: usize) {
    let said = format!("\"in_flight\":{n},");
    timeout(Duration::from_secs(5), async { while !s.proxy.ops_call("counters").await.contains(&said) {} })
        .await
        .expect("the proxy sees who comes and who leaves");
}

/// Waits until the proxy has no more descriptors than this.
async fn descriptors(s: &ProxyFixture, most: usize) {
    timeout(Duration::from_secs(5), async {
        while s.proxy.descriptors() > most {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .expect("the proxy lets go of a client that left");
}

fn framed(framing: &str, behind: &[u8]) -> Vec<u8> {
    [HEAD.as_bytes(), framing.as_bytes(), b"\r\n\r\n", behind].concat()
}

fn pipelined() -> Vec<u8> {
    let next = HEAD.replace("gone", "gone too");
    framed("Content-Length: 2", &[b"me", next.as_bytes(), b"Content-Length: 0\r\n\r\n"].concat())
}

/// The request waits for an earlier one about its key, and its client leaves. Its turn comes, and the next one's.
#[rstest]
#[case::nothing(framed("Content-Length: 0", b""))]
#[case::stray_bytes(framed("Content-Length: 0", b"stray"))]
#[case::much(framed("Content-Length: 0", &[b'x'; MUCH]))]
#[case::some(framed("Content-Length: 0", &[b'x'; LONG_BODY]))]
#[case::another_request(pipelined())]
#[case::a_long_body(framed(&format!("Content-Length: {LONG_BODY}"), &[b'x'; LONG_BODY]))]
#[case::half_a_long_body(framed(&format!("Content-Length: {MUCH}"), &[b'x'; LONG_BODY]))]
#[case::a_long_body_and_stray_bytes(framed(&format!("Content-Length: {}", LONG_BODY - 10), &[b'x'; LONG_BODY]))]
#[case::a_body_not_asked_for(framed(&format!("Content-Length: {MUCH}\r\nExpect: 100-continue"), b""))]
#[tokio::test]
async fn a_request_whose_client_left_while_it_waited_is_never_sent(
    #[case] text: Vec<u8>,
    #[values(Leaves::Closes, Leaves::Ends, Leaves::Resets)] leaves: Leaves,
) {
    let s = in_order().await;
    let first = Arc::new(Notify::new());
    s.control.enqueue([BackendAction::ServeAfter(first.clone())]);
    let mut caller = s.proxy.connect_client().await;
    let held = tokio::spawn(async move { caller.call("keep").await });
    s.control.wait_for_requests(1).await;
    let before = s.proxy.descriptors();
    let mut client = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("it listens");
    within_deadline(client.write_all(&text)).await.expect("the systems' buffers take it");
    // It is taken before it leaves: nothing is ruled out of one that comes and goes in the same instant.
    within_deadline(async {
        while s.proxy.descriptors() <= before {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    })
    .await;
    match leaves {
        Leaves::Closes => drop(client),
        Leaves::Ends => {
            client.shutdown().await.expect("open");
            let mut answer = Vec::new();
            let end = timeout(Duration::from_secs(5), client.read_to_end(&mut answer)).await;
            // A close over what was not read is a reset.
            let _ = end.expect("a client that ended its sending has gone");
            assert!(!answer.starts_with(b"HTTP/1.1 200"));
        }
        Leaves::Resets => {
            client.set_zero_linger().expect("open");
            drop(client);
        }
    }
    descriptors(&s, before).await;
    in_flight(&s, 1).await;
    first.notify_one();
    assert_eq!(held.await.expect("no panic").0, 200);
    let next = request("keep").body(Full::default()).expect("well formed");
    let name = next.headers()["req-id"].clone();
    assert_eq!(s.proxy.connect_client().await.send(next).await.0, 200);
    let seen = s.control.requests.borrow();
    assert_eq!(seen.len(), 2, "a backend has what was left");
    assert_eq!(seen[1].1.headers["req-id"], name);
}
