//! Unit tests of `src/client/traffic.rs`, which includes this file as a module.

use super::*;
use crate::client::registry::{Call, call};
use bytes::Bytes;
use hyper::Method;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Accepts one connection and answers `calls` requests on it with `answer`; returns the number of bytes received.
async fn answer_calls(listener: TcpListener, answer: &'static str, calls: usize) -> u64 {
    let (mut stream, _) = listener.accept().await.expect("a client connects");
    let mut received = Vec::new();
    for n in 1..=calls {
        while received.windows(4).filter(|end| end == b"\r\n\r\n").count() < n {
            assert!(
                stream.read_buf(&mut received).await.expect("a request arrives") > 0,
                "the client closed the connection early"
            );
        }
        stream.write_all(answer.as_bytes()).await.expect("the answer is sent");
    }
    received.len() as u64
}

#[tokio::test]
async fn each_call_is_counted_under_its_kind_with_the_bytes_that_the_peer_sees() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlist";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a loopback port");
    let address = listener.local_addr().expect("bound listener has an address");
    let (traffic, mut connection) = (Traffic::default(), None);
    let client = LocalSet::new();
    let calls = client.run_until(async {
        for kind in [TrafficKind::FullList, TrafficKind::ListWatch, TrafficKind::ListWatch] {
            let wait = Duration::from_secs(600);
            let list_call =
                Call { kind, method: Method::GET, path: "/x", body: Bytes::new(), wait, max_answer: 99 };
            let body = call(&mut connection, address, list_call, Duration::from_secs(1), &traffic)
                .await
                .expect("the call succeeds");
            assert_eq!(&body[..], b"list");
        }
    });
    let (received, ()) = tokio::join!(answer_calls(listener, ANSWER, 3), calls);
    let answer_bytes = ANSWER.len() as u64;
    let one_call = TrafficCount {
        messages_sent: 1,
        messages_received: 1,
        bytes_sent: received / 3,
        bytes_received: answer_bytes,
    };
    assert_eq!(traffic.count(TrafficKind::FullList), one_call);
    let two_calls = TrafficCount {
        messages_sent: 2,
        messages_received: 2,
        bytes_sent: received / 3 * 2,
        bytes_received: answer_bytes * 2,
    };
    assert_eq!(traffic.count(TrafficKind::ListWatch), two_calls);
    for kind in TrafficKind::ALL
        .into_iter()
        .filter(|kind| ![TrafficKind::FullList, TrafficKind::ListWatch].contains(kind))
    {
        assert_eq!(traffic.count(kind), TrafficCount::default(), "{kind:?}");
    }
}
