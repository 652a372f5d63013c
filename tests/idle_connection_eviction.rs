//! An idle client connection that is due for eviction at the instant in which a request arrives on it.

mod rig;
mod waits;

use rig::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn request_text(id: &str) -> String {
    format!(
        "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n"
    )
}

/// The process is suspended while requests arrive on connections that are idle for long enough to be evicted, and
/// while new connections arrive that need every descriptor: it sees both at once.
#[tokio::test]
async fn a_request_on_a_connection_due_for_eviction_is_answered() {
    let s = start_fixture_with(settings(), |config| config["limits"]["sockets"] = 64.into()).await;
    for round in 0..4 {
        let mut idle = Vec::new();
        for n in 0..3 {
            let mut stream =
                within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("proxy accepts a connection");
            stream
                .write_all(request_text(&format!("first{round}{n}")).as_bytes())
                .await
                .expect("connection is open");
            let mut response = [0; 1024];
            let size = within_deadline(stream.read(&mut response)).await.expect("a response");
            let response = String::from_utf8_lossy(&response[..size]).to_string();
            assert!(
                response.starts_with("HTTP/1.1 200") && !response.contains("connection: close"),
                "{response}"
            );
            idle.push(stream);
        }
        // Connections may be evicted once they have been idle for a second.
        tokio::time::sleep(Duration::from_millis(1100)).await;
        s.proxy.suspend().await;
        let mut new_clients = Vec::new();
        for _ in 0..60 {
            new_clients.push(
                within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("accept queue has space"),
            );
        }
        for (n, stream) in idle.iter_mut().enumerate() {
            stream
                .write_all(request_text(&format!("second{round}{n}")).as_bytes())
                .await
                .expect("connection is open");
        }
        s.proxy.send_signal("-CONT");
        for stream in &mut idle {
            let mut start = [0; 9];
            within_deadline(stream.read_exact(&mut start)).await.expect("a response");
            assert_eq!(&start, b"HTTP/1.1 ");
        }
        drop((new_clients, idle));
        within_deadline(async {
            // The proxy notices the disconnects one by one.
            while s.proxy.descriptors() > 20 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }
}
