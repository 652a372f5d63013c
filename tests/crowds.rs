//! A connection at rest that is to make room, in the instant in which a request comes on it.

mod rig;
mod waits;

use rig::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn look(id: &str) -> String {
    format!(
        "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\r\n"
    )
}

/// The process stands still while requests come on connections that have rested for long enough to make room, and
/// while a crowd comes that takes all places: it finds both at once.
#[tokio::test]
async fn a_request_that_comes_as_its_connection_is_to_make_room_is_answered() {
    let s = start_fixture_with(settings(), |config| config["limits"]["sockets"] = 64.into()).await;
    for round in 0..4 {
        let mut rest = Vec::new();
        for n in 0..3 {
            let mut stream = within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("it listens");
            stream.write_all(look(&format!("first{round}{n}")).as_bytes()).await.expect("open");
            let mut answer = [0; 1024];
            let size = within_deadline(stream.read(&mut answer)).await.expect("an answer");
            let answer = String::from_utf8_lossy(&answer[..size]).to_string();
            assert!(answer.starts_with("HTTP/1.1 200") && !answer.contains("connection: close"), "{answer}");
            rest.push(stream);
        }
        // They make room once they have rested for a second.
        tokio::time::sleep(Duration::from_millis(1100)).await;
        s.proxy.suspend().await;
        let mut crowd = Vec::new();
        for _ in 0..60 {
            crowd.push(within_deadline(TcpStream::connect(s.proxy.addr)).await.expect("the system takes it"));
        }
        for (n, stream) in rest.iter_mut().enumerate() {
            stream.write_all(look(&format!("second{round}{n}")).as_bytes()).await.expect("open");
        }
        s.proxy.send_signal("-CONT");
        for stream in &mut rest {
            let mut start = [0; 9];
            within_deadline(stream.read_exact(&mut start)).await.expect("an answer");
            assert_eq!(&start, b"HTTP/1.1 ");
        }
        drop((crowd, rest));
        within_deadline(async {
            // The crowd's ends are seen one by one.
            while s.proxy.descriptors() > 20 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
    }
}
