//! The script that backends follow, to the byte, and the backends that follow it.

use super::within_deadline;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// What becomes of a connection once all is said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionEnd {
    KeepOpen,
    Close,
    Reset,
}

/// What is done with one request.
pub struct ScriptedResponse {
    /// Bytes of it that are read; all, where it says nothing.
    pub read_len: Option<usize>,
    /// What is said, each part once it is released.
    pub writes: Vec<(Option<Arc<Notify>>, Vec<u8>)>,
    /// What is said behind that, each time it is released, for as long as somebody listens.
    pub repeat: Option<(Arc<Notify>, Vec<u8>)>,
    pub end: ConnectionEnd,
}

impl ScriptedResponse {
    pub fn raw(text: &str, end: ConnectionEnd) -> Self {
        ScriptedResponse { read_len: None, writes: vec![(None, text.into())], repeat: None, end }
    }
    /// An answer of its own, ok_response.
    pub fn ok(body: &str) -> Self {
        ScriptedResponse::raw(&ok_response(body), ConnectionEnd::KeepOpen)
    }
    /// Says more once it is released.
    pub fn then_write(mut self, release: &Arc<Notify>, text: &str) -> Self {
        self.writes.push((Some(release.clone()), text.into()));
        self
    }
}

/// An answer with this body.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// What scripted backends have in common.
#[derive(Default)]
pub struct Script {
    responses: Mutex<VecDeque<ScriptedResponse>>,
    /// Both ends of each connection: its backend's, and the other one.
    connections: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    /// Requests that were heard as far as the script says, each with its connection's number.
    pub requests: watch::Sender<Vec<(usize, Vec<u8>)>>,
    /// Connections that are over.
    pub closed: watch::Sender<Vec<usize>>,
}

impl Script {
    pub fn enqueue(&self, responses: impl IntoIterator<Item = ScriptedResponse>) {
        self.responses.lock().expect("sound").extend(responses);
    }
    /// Forgets what no request has come for.
    pub fn clear(&self) {
        self.responses.lock().expect("sound").clear();
    }
    /// Waits until so many requests were heard.
    pub async fn wait_for_requests(&self, n: usize) {
        within_deadline(self.requests.subscribe().wait_for(|h| h.len() >= n)).await.expect("open");
    }
    /// The connections on which requests came, in their order.
    pub fn request_connections(&self) -> Vec<usize> {
        self.requests.borrow().iter().map(|(n, _)| *n).collect()
    }
    /// Waits until a connection is over.
    pub async fn wait_for_close(&self, connection: usize) {
        within_deadline(self.closed.subscribe().wait_for(|o| o.contains(&connection))).await.expect("open");
    }

    /// Both ends of a connection: its backend's, and the other one.
    pub fn connection_addrs(&self, connection: usize) -> (SocketAddr, SocketAddr) {
        self.connections.lock().expect("sound")[connection]
    }

    fn number(&self, own: SocketAddr, peer: SocketAddr) -> usize {
        let mut connections = self.connections.lock().expect("sound");
        connections.push((own, peer));
        connections.len() - 1
    }

    /// A backend that follows the script.
    pub async fn start_backend(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let script = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, peer) = listener.accept().await.expect("a connection");
                stream.set_nodelay(true).expect("open");
                let (script, number) = (script.clone(), script.number(addr, peer));
                tokio::spawn(async move {
                    // Its end, whatever it is, is what tests wait for.
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
            let response = self.responses.lock().expect("sound").pop_front();
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

/// Whether a request with a told length, or none, is all there.
fn is_whole(read: &[u8]) -> bool {
    let Some(head) = read.windows(4).position(|w| w == b"\r\n\r\n") else { return false };
    let text = String::from_utf8_lossy(&read[..head]).to_lowercase();
    let length = text.lines().find_map(|l| l.strip_prefix("content-length:")?.trim().parse::<usize>().ok());
    read.len() >= head + 4 + length.unwrap_or(0)
}
