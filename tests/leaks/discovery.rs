//! Discovery that resets its calls at every point of an answer.

use crate::rig::within_deadline;
use crate::stage::Stage;
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Ends of calls. A call is made again after a pause, so that ten thousand would take most of an hour.
const ENDS: usize = 40;

/// Answers a call whole, resets it at once, in the answer's head or in its list, or after all of it, by turns.
async fn call(mut stream: TcpStream, list: &str, turn: usize) -> std::io::Result<()> {
    let mut part = [0; 4096];
    if stream.read(&mut part).await? == 0 {
        return Ok(());
    }
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    let size = [whole.len(), 0, 20, whole.len() / 2, whole.len()][turn % 5];
    stream.write_all(&whole.as_bytes()[..size]).await?;
    if turn.is_multiple_of(5) { stream.shutdown().await } else { stream.set_zero_linger() }
}

#[tokio::test]
async fn discovery_that_resets_its_calls_leaves_nothing() {
    let ends = Arc::new(watch::Sender::new(0));
    let counts = ends.clone();
    let stage = Stage::found_by(async |hosts: Vec<Value>| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        tokio::spawn(async move {
            for turn in 0.. {
                let (stream, _) = listener.accept().await.expect("a connection");
                let list = json!({"seq": turn + 1, "whole": true, "hosts": hosts}).to_string();
                let _ = call(stream, &list, turn).await;
                counts.send_modify(|n| *n += 1);
            }
        });
        Some(addr)
    })
    .await;
    within_deadline(ends.subscribe().wait_for(|n| *n >= ENDS)).await.expect("open");
    stage.back_to_the_start().await;
}
