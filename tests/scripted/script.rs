//! Byte-level scripts and the backends that follow them.

use super::within_deadline;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// What happens to a connection once a response is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    KeepOpen,
    Close,
    Reset,
}

/// How a backend handles one request.
pub struct ScriptedResponse {
    /// Bytes of the request to read; the whole request if unset.
    pub read_len: Option<usize>,
    /// Parts to write, each once its notification arrives.
    pub writes: Vec<(Option<Arc<Notify>>, Vec<u8>)>,
    /// Text written after the parts at each notification, until the peer closes.
    pub repeat: Option<(Arc<Notify>, Vec<u8>)>,
    pub end: ConnectionEnd,
}

impl ScriptedResponse {
    /// Writes `text` at once.
    pub fn raw(text: &str, end: ConnectionEnd) -> Self {
        ScriptedResponse { read_len: None, writes: vec![(None, text.into())], repeat: None, end }
    }
    /// Writes a complete 200 response and keeps the connection open.
    pub fn ok(body: &str) -> Self {
        ScriptedResponse::raw(&ok_response(body), ConnectionEnd::KeepOpen)
    }
    /// Appends text that is written once the notification arrives.
    pub fn then_write(mut self, release: &Arc<Notify>, text: &str) -> Self {
        self.writes.push((Some(release.clone()), text.into()));
        self
    }
}

/// Formats a 200 response with this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// State shared by scripted backends.
#[derive(Default)]
pub struct Script {
    responses: Mutex<VecDeque<ScriptedResponse>>,
    /// Backend address and peer address of each connection.
    connections: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    /// Requests as far as the script reads them, each with the number of its connection.
    pub requests: watch::Sender<Vec<(usize, Vec<u8>)>>,
    /// Numbers of closed connections.
    pub closed: watch::Sender<Vec<usize>>,
}

impl Script {
    /// Appends responses for the next requests.
    pub fn enqueue(&self, responses: impl IntoIterator<Item = ScriptedResponse>) {
        self.responses.lock().expect("lock is not poisoned").extend(responses);
    }
    /// Drops the queued responses.
    pub fn clear(&self) {
        self.responses.lock().expect("lock is not poisoned").clear();
    }
    /// Waits until at least `n` requests were read.
    pub async fn wait_for_requests(&self, n: usize) {
        within_deadline(self.requests.subscribe().wait_for(|h| h.len() >= n))
            .await
            .expect("watch sender is alive");
    }
    /// Returns the connection numbers of the requests in arrival order.
    pub fn request_connections(&self) -> Vec<usize> {
        self.requests.borrow().iter().map(|(n, _)| *n).collect()
    }
    /// Waits until a connection is closed.
    pub async fn wait_for_close(&self, connection: usize) {
        within_deadline(self.closed.subscribe().wait_for(|o| o.contains(&connection)))
            .await
            .expect("watch sender is alive");
    }

    /// Returns the backend address and the peer address of a connection.
    pub fn connection_addrs(&self, connection: usize) -> (SocketAddr, SocketAddr) {
        self.connections.lock().expect("lock is not poisoned")[connection]
    }

    fn number(&self, own: SocketAddr, peer: SocketAddr) -> usize {
        let mut connections = self.connections.lock().expect("lock is not poisoned");
        connections.push((own, peer));
        connections.len() - 1
    }

    /// Starts a backend that follows the script.
    pub async fn start_backend(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a loopback port");
        let addr = listener.local_addr().expect("listener has a local address");
        let script = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, peer) = listener.accept().await.expect("accepts a connection");
                stream.set_nodelay(true).expect("socket accepts TCP_NODELAY");
                let (script, number) = (script.clone(), script.number(addr, peer));
                tokio::spawn(async move {
                    // Tests wait for the end of the connection, whether or not it is an error.
                    let _ = script.follow(stream, number).await;
                    script.closed.send_modify(|o| o.push(number));
                });
            }
        });
        addr
    }

    async fn follow(&self, mut stream: TcpStream, number: usize) -> std::io::Result<()> {
        let mut read = Vec::new();
        loop {
            if stream.read_buf(&mut read).await? == 0 {
                return Ok(());
            }
            let response = self.responses.lock().expect("lock is not poisoned").pop_front();
            let response = response.unwrap_or_else(|| ScriptedResponse::ok("served"));
            while response.read_len.map_or(!is_whole(&read), |n| read.len() < n) {
                if stream.read_buf(&mut read).await? == 0 {
                    return Ok(());
                }
            }
            self.requests.send_modify(|h| h.push((number, std::mem::take(&mut read))));
            for (release, text) in response.writes {
                if let Some(release) = release {
                    release.notified().await;
                }
                stream.write_all(&text).await?;
            }
            if let Some((release, text)) = response.repeat {
                loop {
                    release.notified().await;
                    stream.write_all(&text).await?;
                }
            }
            match response.end {
                ConnectionEnd::KeepOpen => {}
                ConnectionEnd::Close => return stream.shutdown().await,
                ConnectionEnd::Reset => return stream.set_zero_linger(),
            }
        }
    }
}

/// Returns whether a request is complete, with a body only if it has a content length.
fn is_whole(read: &[u8]) -> bool {
    let Some(head) = read.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
    let text = String::from_utf8_lossy(&read[..head]).to_lowercase();
    let length = text.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    read.len() >= head + 4 + length.unwrap_or(0)
}
