//! A retry whose connect completes only after the deduplication window of the backends.

mod rig;
mod waits;

use rig::*;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until, timeout};

const WINDOW: Duration = Duration::from_millis(1500);

/// Opens connections until one more neither succeeds nor fails.
async fn fill_accept_queue(listener: &TcpListener) -> Vec<TcpStream> {
    let addr = listener.local_addr().expect("listener is bound");
    let mut streams = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(300), TcpStream::connect(addr)).await {
        streams.push(stream.expect("an accepted connection"));
        assert!(streams.len() < 100, "the accept queue never fills up");
    }
    streams
}

#[tokio::test]
async fn a_retry_whose_connect_outlasts_the_deduplication_window_is_not_written() {
    let (listener, initial) = unresponsive_listener().await;
    let addr = listener.local_addr().expect("listener is bound");
    for _ in &initial {
        within_deadline(listener.accept()).await.expect("a queued connection");
    }
    let mut settings = with_cap("connectTimeout", 30_000.into());
    let classes = settings["classes"].as_array_mut().expect("an array of classes");
    classes.iter_mut().for_each(|class| class["window"] = json!(WINDOW.as_millis() as u64));
    let lines = vec![endpoint_entry("c", addr, "SERVING"), endpoint_entry("d", addr, "SERVING")];
    let discovery = TestDiscovery::start(lines).await;
    let proxy = ProxyProcess::start_synced(&discovery, settings).await;

    let mut client =
        within_deadline(TcpStream::connect(proxy.addr)).await.expect("proxy accepts a connection");
    let text = "POST /keep?k=7f3a HTTP/1.1\r\nHost: o\r\nReq-Id: twice\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n\
                Idempotency-Key: 5c\r\nContent-Length: 0\r\n\r\n";
    client.write_all(text.as_bytes()).await.expect("connection is open");
    let (mut first, _) =
        within_deadline(listener.accept()).await.expect("the connection of the first attempt");
    let mut head = [0; 4096];
    let n = within_deadline(first.read(&mut head)).await.expect("connection is open");
    assert!(head[..n].windows(5).any(|w| w == b"twice"));
    let sent = Instant::now();
    let queued = fill_accept_queue(&listener).await;
    // The request may have run; the retry is decided within the window, and its connect hangs.
    first.set_zero_linger().expect("connection is open");
    drop(first);
    within_deadline(wait_for_connecting(addr)).await;
    sleep_until(sent + WINDOW).await;
    for _ in &queued {
        within_deadline(listener.accept()).await.expect("a queued connection");
    }
    let response = async {
        let mut response = vec![0; 12];
        client.read_exact(&mut response).await.expect("a response");
        response
    };
    let late = async {
        let (mut late, _) = listener.accept().await.expect("the connection of the retry");
        let mut seen = Vec::new();
        let _ = late.read_to_end(&mut seen).await;
        seen
    };
    let (response, seen) = within_deadline(async { tokio::join!(response, late) }).await;
    assert_eq!(String::from_utf8_lossy(&seen), "", "a retry was written after the deduplication window");
    assert_eq!(String::from_utf8_lossy(&response), "HTTP/1.1 502");
}
