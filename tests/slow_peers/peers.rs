//! Slow clients, each of one kind, that connect again whenever the proxy ends their connection.

use crate::rig::request_id;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Time between the pieces that a slow peer writes or reads.
const PACE: Duration = Duration::from_millis(200);
/// Pieces in which a slow peer writes its bytes.
const PIECES: usize = 40;

/// What a slow peer does on each of its connections.
#[derive(Clone, Copy, Debug)]
pub enum Peer {
    /// Writes a head of many short fields and stops before its end.
    Head,
    /// Writes a whole head of many short fields, and a body of so many bytes slowly.
    Body { length: usize, chunked: bool },
    /// Writes half of a body of so many bytes at once and stops.
    HalfBody { length: usize, chunked: bool },
    /// Writes a whole body at once, which the backend stops to read.
    StuckBody { length: usize, chunked: bool },
    /// Reads an answer of so many bytes slowly.
    Answer { length: usize, chunked: bool },
    /// Writes many requests at once and reads no answer.
    Pipeline,
}
use Peer::*;

/// One peer of each kind.
pub const ALL: [Peer; 14] = [
    Head,
    Body { length: 60_000, chunked: false },
    Body { length: 60_000, chunked: true },
    Body { length: 1 << 20, chunked: false },
    Body { length: 1 << 20, chunked: true },
    HalfBody { length: 60_000, chunked: false },
    HalfBody { length: 1 << 20, chunked: false },
    HalfBody { length: 1 << 20, chunked: true },
    StuckBody { length: 1 << 20, chunked: false },
    StuckBody { length: 1 << 20, chunked: true },
    Answer { length: 60_000, chunked: false },
    Answer { length: 60_000, chunked: true },
    Answer { length: 1 << 20, chunked: true },
    Pipeline,
];

impl Peer {
    /// Connects again and again; never returns.
    pub async fn run(self, proxy: SocketAddr) {
        loop {
            let _ = self.use_connection(proxy).await;
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn use_connection(self, proxy: SocketAddr) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        if matches!(self, Answer { .. } | Pipeline) {
            socket.set_recv_buffer_size(4096)?;
        }
        let mut stream = socket.connect(proxy).await?;
        match self {
            Head => stream.write_all(&head("look", "", "", 7000)).await?,
            Body { length, chunked } => {
                stream.write_all(&body_head(length, chunked, "")).await?;
                let body = body(length, chunked);
                write_slowly(&mut stream, &body).await?;
            }
            HalfBody { length, chunked } => {
                stream.write_all(&body_head(length, chunked, "")).await?;
                stream.write_all(&body(length, chunked)[..length / 2]).await?;
            }
            StuckBody { length, chunked } => {
                stream.write_all(&body_head(length, chunked, "&read=1000")).await?;
                stream.write_all(&body(length, chunked)).await?;
            }
            Answer { length, chunked } => {
                let query = format!("&answer={length}&chunked={}", u8::from(chunked));
                stream.write_all(&[&head("look", &query, "", 4000)[..], b"\r\n"].concat()).await?;
                return read_slowly(&mut stream).await;
            }
            Pipeline => {
                for _ in 0..100 {
                    stream.write_all(&[&head("look", "", "", 0)[..], b"\r\n"].concat()).await?;
                }
            }
        }
        wait_for_end(&mut stream).await
    }
}

/// Returns the head of a request without its end, filled up with short fields to about `length` bytes.
fn head(class: &str, query: &str, field: &str, length: usize) -> Vec<u8> {
    let method = if class == "look" { "GET" } else { "POST" };
    let mut head = format!(
        "{method} /{class}?a=1{query} HTTP/1.1\r\nHost: o\r\nReq-Id: {}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 5000\r\n{field}",
        request_id()
    );
    // The library takes a hundred fields.
    for n in 0..90 {
        if head.len() + 8 < length {
            let value = "v".repeat(length / 90 - 8);
            head.push_str(&format!("x{n:02}: {value}\r\n"));
        }
    }
    head.into_bytes()
}

fn body_head(length: usize, chunked: bool, query: &str) -> Vec<u8> {
    let field = if chunked {
        "Transfer-Encoding: chunked\r\n".into()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    [&head("once", query, &field, 7000)[..], b"\r\n"].concat()
}

fn body(length: usize, chunked: bool) -> Vec<u8> {
    let body = vec![b'x'; length];
    if !chunked {
        return body;
    }
    let chunk = |data: &[u8]| [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat();
    body.chunks(100).map(chunk).chain([b"0\r\n\r\n".to_vec()]).flatten().collect()
}

async fn write_slowly(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(bytes.len() / PIECES + 1) {
        stream.write_all(piece).await?;
        sleep(PACE).await;
    }
    Ok(())
}

async fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut part = [0; 1024];
    while stream.read(&mut part).await? > 0 {
        sleep(PACE).await;
    }
    Ok(())
}

/// Waits until the proxy ends the connection, at most for ten seconds.
async fn wait_for_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut part = [0; 64];
    let ended = async { while matches!(stream.read(&mut part).await, Ok(n) if n > 0) {} };
    let _ = timeout(Duration::from_secs(10), ended).await;
    Ok(())
}
