//! What waits somewhere as the process ends: in the listener's queue with no descriptor left, for its key's turn.

mod rig;
mod waits;

use rig::*;
use serde_json::json;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Clients at rest hold every place that there is, and the system's queue holds more requests than there are
/// descriptors as the listener closes: those at rest make room, and each request has its answer.
#[tokio::test]
async fn with_no_descriptor_left_the_listeners_queue_is_answered_still() {
    let orders = Arc::new(BackendControl::default());
    let a = TestBackend::start("a", &orders).await;
    let discovery = TestDiscovery::start(vec![a.endpoint_entry("SERVING")]).await;
    let mut config = discovery.proxy_config(settings());
    config["limits"]["sockets"] = 64.into();
    let mut proxy = ProxyProcess::start_with_command(&config, "ulimit -n 64; exec \"$0\"").await;
    discovery.wait_until_synced().await;
    // Stopped, it takes none of them; all are there, those at rest first, when it is to end.
    proxy.send_signal("-STOP");
    let (mut rest, mut waiting) = (Vec::new(), Vec::new());
    for _ in 0..40 {
        rest.push(TcpStream::connect(proxy.addr).await.expect("the queue takes it"));
    }
    for n in 0..30 {
        let mut stream = TcpStream::connect(proxy.addr).await.expect("the queue takes it");
        let head = format!(
            "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: q{n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 3000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("open");
        waiting.push(stream);
    }
    proxy.send_signal("-TERM");
    proxy.send_signal("-CONT");
    for (n, mut stream) in waiting.into_iter().enumerate() {
        let mut answer = String::new();
        let closed = within_deadline(stream.read_to_string(&mut answer)).await;
        assert!(closed.is_ok(), "request {n} of the queue was lost: {closed:?}");
        assert!(["HTTP/1.1 200", "HTTP/1.1 503"].iter().any(|a| answer.starts_with(a)), "{n}: {answer:?}");
    }
    drop(rest);
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
}

/// Those behind the first of their key hold no slot. Its end in the stop gives them their turn; where it has none, the
/// last moment ends them unsent.
#[tokio::test]
async fn who_waits_for_a_turn_in_a_stop_has_it_or_is_answered_unsent() {
    for answers in [true, false] {
        let mut ordered = settings();
        for class in ordered["classes"].as_array_mut().expect("a list") {
            class["fifoByKey"] = true.into();
            class["giveUp"] = json!(300.0);
        }
        let mut s = start_fixture(ordered).await;
        let release = Arc::new(Notify::new());
        s.control.enqueue([BackendAction::ServeAfter(release.clone())]);
        let mut calls = Vec::new();
        for n in 0..3 {
            let mut caller = s.proxy.connect_client().await;
            calls.push(tokio::spawn(async move { caller.call("once").await.0 }));
            if n == 0 {
                s.control.wait_for_requests(1).await;
            }
        }
        // Taken one after the other on one thread: what comes behind them on another key says that they are in.
        let mut other = s.proxy.connect_client().await;
        let free = request("once").uri("/once?k=other").body(http_body_util::Full::default());
        assert_eq!(other.send(free.expect("well formed")).await.0, 200);
        s.proxy.terminate().await;
        if answers {
            release.notify_one();
        }
        let mut got = Vec::new();
        for call in calls {
            got.push(call.await.expect("no panic"));
        }
        assert_eq!(got, if answers { [200; 3] } else { [504; 3] });
        assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
        s.a.wait_all_closed().await;
        s.b.wait_all_closed().await;
        assert_eq!(s.control.requests.borrow().len(), if answers { 4 } else { 2 });
    }
}
