//! A discovery service that resets its connections at every point of a response.

use crate::leak_check::LeakCheck;
use crate::rig::within_deadline;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Number of calls. The proxy pauses after a failed call, so that ten thousand would take most of an hour.
const CALLS: usize = 40;

/// Responds completely, resets at once, in the head, in the list or after the whole response, in turn.
async fn respond(mut stream: TcpStream, list: &str, turn: usize) -> std::io::Result<()> {
    let mut part = [0; 4096];
    if stream.read(&mut part).await? == 0 {
        return Ok(());
    }
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    let size = [response.len(), 0, 20, response.len() / 2, response.len()][turn % 5];
    stream.write_all(&response.as_bytes()[..size]).await?;
    if turn.is_multiple_of(5) { stream.shutdown().await } else { stream.set_zero_linger() }
}

#[tokio::test]
async fn discovery_that_resets_its_connections_leaks_nothing() {
    let calls = Arc::new(watch::Sender::new(0));
    let counter = calls.clone();
    let check = LeakCheck::start_with_discovery(async |hosts: Vec<Value>| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("listener is bound");
        tokio::spawn(async move {
            for turn in 0.. {
                let (stream, _) = listener.accept().await.expect("an accepted connection");
                let list = json!({"seq": turn + 1, "whole": true, "hosts": hosts}).to_string();
                let _ = respond(stream, &list, turn).await;
                counter.send_modify(|n| *n += 1);
            }
        });
        Some(addr)
    })
    .await;
    within_deadline(calls.subscribe().wait_for(|n| *n >= CALLS)).await.expect("channel is open");
    check.assert_resources_released().await;
}
