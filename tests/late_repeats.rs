//! A repeat whose dial comes up only after backends have stopped dropping repeats.

mod rig;
mod waits;

use rig::*;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until, timeout};

const WINDOW: Duration = Duration::from_millis(1500);

/// Takes connections until one more neither succeeds nor fails.
async fn fill(listener: &TcpListener) -> Vec<TcpStream> {
    let addr = listener.local_addr().expect("bound");
    let mut held = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(addr)).await {
        held.push(stream.expect("a connection"));
        assert!(held.len() < 100, "the queue fills up");
    }
    held
}

#[tokio::test]
async fn a_repeat_whose_dial_outlasts_the_window_is_not_written() {
    let (listener, full) = unresponsive_listener().await;
    let addr = listener.local_addr().expect("bound");
    for _ in &full {
        within_deadline(listener.accept()).await.expect("the queue's");
    }
    let mut settings = with_cap("connectTimeout", 30_000.into());
    let classes = settings["classes"].as_array_mut().expect("classes");
    classes.iter_mut().for_each(|class| class["window"] = json!(WINDOW.as_millis() as u64));
    let lines = vec![endpoint_entry("c", addr, "SERVING"), endpoint_entry("d", addr, "SERVING")];
    let discovery = TestDiscovery::start(lines).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings).await;

    let mut client = within_deadline(TcpStream::connect(proxy.addr)).await.expect("it listens");
    let text = "POST /keep?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Id: twice\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\
                Idempotency-Key: 5c\r\nContent-Length: 0\r\n\r\n";
    client.write_all(text.as_bytes()).await.expect("open");
    let (mut first, _) = within_deadline(listener.accept()).await.expect("the first attempt's");
    let mut head = [0; 4096];
    let n = within_deadline(first.read(&mut head)).await.expect("open");
    assert!(head[..n].windows(5).any(|w| w == b"twice"));
    let sent = Instant::now();
    let held = fill(&listener).await;
    // It may have run; the repeat is decided within the window, and its dial hangs.
    first.set_zero_linger().expect("open");
    drop(first);
    within_deadline(wait_for_connecting(addr)).await;
    sleep_until(sent + WINDOW).await;
    for _ in &held {
        within_deadline(listener.accept()).await.expect("the queue's");
    }
    let answer = async {
        let mut answer = vec![0; 12];
        client.read_exact(&mut answer).await.expect("an answer");
        answer
    };
    let late = async {
        let (mut late, _) = listener.accept().await.expect("the repeat's");
        let mut seen = Vec::new();
        let _ = late.read_to_end(&mut seen).await;
        seen
    };
    let (answer, seen) = within_deadline(async { tokio::join!(answer, late) }).await;
    assert_eq!(String::from_utf8_lossy(&seen), "", "a repeat was written past its window");
    assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 502");
}
