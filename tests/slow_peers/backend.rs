//! A backend that reads and answers each request as the query of its path says.
//!
//! It reads the body with a pause of `read_every` milliseconds before each read, or of 100 ms after each `read_burst` bytes,
//! and stops after `read` bytes. It answers
//! `answer` bytes, `piece` bytes every `every` milliseconds, in chunks with `chunked`, until the end of the connection with
//! `until_close`, and stops after `give` bytes.

use crate::rig::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Backends in the list. A new process admits twice as many requests.
const BACKENDS: usize = 40;

/// Pause after each burst of reads.
const BURST_PAUSE: Duration = Duration::from_millis(100);
/// Size of the system's buffer for what a backend has not read.
const RECEIVE_BUFFER_BYTES: u32 = 8192;

/// Starts a backend on as many addresses as it stands for backends.
async fn start_backends(count: usize) -> Vec<SocketAddr> {
    let mut addrs = Vec::new();
    for _ in 0..count {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a socket option");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let listener = socket.listen(1024).expect("starts listening");
        addrs.push(listener.local_addr().expect("listener is bound"));
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("an accepted connection");
                tokio::spawn(serve(stream));
            }
        });
    }
    addrs
}

/// Serves requests on a connection until either side ends it.
async fn serve(mut stream: TcpStream) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let head = read_head(&mut stream, &mut buffer).await?;
        read_body(&mut stream, &mut buffer, &head).await?;
        answer(&mut stream, &head).await?;
    }
}

async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = buffer.drain(..end + 4).collect::<Vec<u8>>();
            return String::from_utf8(head).ok().map(|head| head.to_ascii_lowercase());
        }
        read_more(stream, buffer).await?;
    }
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 16 * 1024];
    let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&part[..n]);
    Some(())
}

async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> Option<()> {
    let stops_at = parameter(head, "read").unwrap_or(usize::MAX);
    let pause = milliseconds(head, "read_every");
    let is_chunked = head.contains("transfer-encoding: chunked");
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.map_or(0, |length| length.parse().expect("a number"));
    let burst = parameter(head, "read_burst").unwrap_or(usize::MAX);
    let (mut read, mut burst_ends_at) = (0, burst);
    loop {
        if is_chunked && buffer.ends_with(b"0\r\n\r\n") || !is_chunked && read + buffer.len() >= length {
            buffer.clear();
            return Some(());
        }
        // The end of a body in chunks may be split.
        let kept = if is_chunked { 4 } else { 0 };
        read += buffer.drain(..buffer.len().saturating_sub(kept)).len();
        if read >= stops_at {
            std::future::pending::<()>().await;
        }
        if read >= burst_ends_at {
            burst_ends_at += burst;
            sleep(BURST_PAUSE).await;
        }
        sleep(pause).await;
        read_more(stream, buffer).await?;
    }
}

async fn answer(stream: &mut TcpStream, head: &str) -> Option<()> {
    let length = parameter(head, "answer").unwrap_or(2);
    let piece = parameter(head, "piece").unwrap_or(16 * 1024);
    let stops_at = parameter(head, "give").unwrap_or(usize::MAX);
    let pause = milliseconds(head, "every");
    let is_chunked = parameter(head, "chunked") == Some(1);
    let until_close = parameter(head, "until_close") == Some(1);
    let framing = match (is_chunked, until_close) {
        (true, _) => "Transfer-Encoding: chunked".to_string(),
        (_, true) => "Connection: close".to_string(),
        _ => format!("Content-Length: {length}"),
    };
    let mut given = 0;
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await.ok()?;
    while given < length {
        let data = vec![b'y'; piece.min(length - given)];
        given += data.len();
        let data = if is_chunked {
            [format!("{:x}\r\n", data.len()).as_bytes(), &data, b"\r\n"].concat()
        } else {
            data
        };
        stream.write_all(&data).await.ok()?;
        if given >= stops_at {
            std::future::pending::<()>().await;
        }
        sleep(pause).await;
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    (!until_close).then_some(())
}

fn milliseconds(head: &str, name: &str) -> Duration {
    Duration::from_millis(parameter(head, name).unwrap_or(0) as u64)
}

/// Returns the value of a parameter of the query in the first line of a head.
fn parameter(head: &str, name: &str) -> Option<usize> {
    let query = head.lines().next()?.split(' ').nth(1)?.split_once('?')?.1;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok())
}

/// Starts backends and a proxy that has their list.
pub async fn start_proxy() -> (TestDiscovery, ProxyProcess) {
    start_proxy_with(|_| {}).await
}

/// Starts backends, and a proxy that has their list after `change` has edited its configuration.
pub async fn start_proxy_with(change: impl FnOnce(&mut Value)) -> (TestDiscovery, ProxyProcess) {
    let (discovery, mut config) = start_backends_and_discovery().await;
    change(&mut config);
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    (discovery, proxy)
}

/// Starts backends and their discovery, and returns a configuration for a proxy.
pub async fn start_backends_and_discovery() -> (TestDiscovery, Value) {
    let addrs = start_backends(BACKENDS).await;
    let list = addrs.iter().enumerate();
    let list = list.map(|(n, addr)| endpoint_entry(&format!("b{n}"), *addr, "SERVING")).collect();
    let discovery = TestDiscovery::start(list).await;
    let config = discovery.proxy_config(settings());
    (discovery, config)
}
