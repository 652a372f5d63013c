//! Ten thousand clients that disconnect abruptly at every point of a request: nothing is leaked.

mod rig;
mod waits;

use rig::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Clients in all, and clients at a time.
const CLIENTS: usize = 10_000;
const BATCH_SIZE: usize = 200;

/// Bytes that the n-th client writes before it disconnects.
fn request_bytes(n: usize) -> Vec<u8> {
    let (class, framing) = match n % 6 {
        0 => ("look", "\r\n".to_string()),
        1 => ("look", "\r\nstray".to_string()),
        2 => ("once", "Content-Length: 1000\r\n\r\nhalf".to_string()),
        3 => ("once", format!("Content-Length: 90000\r\n\r\n{}", "x".repeat(70_000))),
        4 => ("once", format!("Content-Length: 90000\r\n\r\n{}", "x".repeat(90_000))),
        _ => ("once", "Expect: 100-continue\r\nContent-Length: 90000\r\n\r\n".to_string()),
    };
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Id: {n}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n{framing}"
    )
    .into_bytes()
}

#[tokio::test]
async fn abrupt_client_disconnects_leak_nothing() {
    let s = start_fixture_with(settings(), |config| config["ops"] = "127.0.0.1:0".into()).await;
    assert_eq!(s.proxy.call("look").await.0, 200);
    let before = s.proxy.descriptors();
    for round in 0..CLIENTS / BATCH_SIZE {
        let mut clients = JoinSet::new();
        for n in round * BATCH_SIZE..(round + 1) * BATCH_SIZE {
            let addr = s.proxy.addr;
            clients.spawn(async move {
                let mut stream =
                    within_deadline(TcpStream::connect(addr)).await.expect("proxy accepts a connection");
                // A rejected client may see its connection closed while it writes.
                let _ = within_deadline(stream.write_all(&request_bytes(n))).await;
                stream
            });
        }
        // All of a batch disconnect at once, half of them by a reset.
        for (n, client) in clients.join_all().await.into_iter().enumerate() {
            if n % 2 == 0 {
                client.set_zero_linger().expect("connection is open");
            }
        }
    }
    // Idle connections to the backends may be kept, as after any burst.
    let kept = || *s.a.open_connections.borrow() + *s.b.open_connections.borrow();
    let released = async {
        while !s.proxy.ops_call("counters").await.contains("\"in_flight\":0,")
            || s.proxy.descriptors() > before + kept()
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let usage = || format!("{} descriptors, {before} before, {} kept", s.proxy.descriptors(), kept());
    if timeout(Duration::from_secs(20), released).await.is_err() {
        panic!("{}: {}", usage(), s.proxy.ops_call("counters").await);
    }
    // Every slot at the backends is free again, and so is the memory for bodies.
    for _ in 0..100 {
        assert_eq!(s.proxy.call("once").await.0, 200);
    }
}
