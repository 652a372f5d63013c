//! Unit tests of `src/client/traffic.rs`, which names this file.

use super::*;
use crate::client::registry::{Call, call};
use bytes::Bytes;
use hyper::Method;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Answers each call on one connection with `answer`; gives how many bytes came.
async fn answer_calls(listener: TcpListener, answer: &'static str, calls: usize) -> u64 {
    let (mut stream, _) = listener.accept().await.expect("a client");
    let mut came = Vec::new();
    for n in 1..=calls {
        while came.windows(4).filter(|end| end == b"\r\n\r\n").count() < n {
            assert!(stream.read_buf(&mut came).await.expect("a call") > 0, "the client goes on");
        }
        stream.write_all(answer.as_bytes()).await.expect("answered");
    }
    came.len() as u64
}

#[tokio::test]
async fn each_call_is_counted_under_its_kind_by_what_the_other_side_saw() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlist";
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (traffic, mut link) = (Traffic::default(), None);
    let client = LocalSet::new();
    let calls = client.run_until(async {
        for kind in [TrafficKind::FullList, TrafficKind::ListWatch, TrafficKind::ListWatch] {
            let wait = Duration::from_secs(600);
            let asked =
                Call { kind, method: Method::GET, path: "/x", body: Bytes::new(), wait, max_answer: 99 };
            let body = call(&mut link, address, asked, &traffic).await.expect("an answer");
            assert_eq!(&body[..], b"list");
        }
    });
    let (came, ()) = tokio::join!(answer_calls(listener, ANSWER, 3), calls);
    let answer = ANSWER.len() as u64;
    let one =
        TrafficCount { messages_sent: 1, messages_received: 1, bytes_sent: came / 3, bytes_received: answer };
    assert_eq!(traffic.count(TrafficKind::FullList), one);
    let two = TrafficCount {
        messages_sent: 2,
        messages_received: 2,
        bytes_sent: came / 3 * 2,
        bytes_received: answer * 2,
    };
    assert_eq!(traffic.count(TrafficKind::ListWatch), two);
    for kind in TrafficKind::ALL
        .into_iter()
        .filter(|kind| ![TrafficKind::FullList, TrafficKind::ListWatch].contains(kind))
    {
        assert_eq!(traffic.count(kind), TrafficCount::default(), "{kind:?}");
    }
}
