//! A backend that responds and resets its connections as the `do` parameter of each request's query says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Complete response.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Head and first bytes of a long response.
const PARTIAL_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nbegins";

/// Backend with counters and semaphores that tests use to synchronize with it.
pub struct Backend {
    /// Addresses it listens on, one for each backend that it stands for.
    pub addrs: Vec<SocketAddr>,
    /// Number of open connections.
    pub open: AtomicUsize,
    /// Number of connections that this backend has reset.
    pub resets: AtomicUsize,
    /// One permit for each request that waits for its response.
    pub waiting: Semaphore,
    /// One permit for each waiting request that may be answered.
    pub released: Semaphore,
}

impl Backend {
    pub async fn start(count: usize) -> Arc<Self> {
        let (mut addrs, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            addrs.push(listener.local_addr().expect("listener is bound"));
            listeners.push(listener);
        }
        let (open, resets) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let (waiting, released) = (Semaphore::new(0), Semaphore::new(0));
        let backend = Arc::new(Backend { addrs, open, resets, waiting, released });
        for listener in listeners {
            tokio::spawn(backend.clone().listen(listener));
        }
        backend
    }

    async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let (stream, _) = listener.accept().await.expect("an accepted connection");
            let backend = self.clone();
            tokio::spawn(async move {
                backend.open.fetch_add(1, SeqCst);
                backend.serve(stream).await;
                backend.open.fetch_sub(1, SeqCst);
            });
        }
    }

    /// Serves requests on a connection until either side ends it.
    async fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer).await {
            let written = if head.contains("?do=wait") {
                self.waiting.add_permits(1);
                let mut end = [0];
                tokio::select! {
                    permit = self.released.acquire() => permit.expect("semaphore is open").forget(),
                    // The client left before the request was counted, and the proxy closed the connection.
                    _ = stream.read(&mut end) => return,
                }
                stream.write_all(RESPONSE).await
            } else if head.contains("?do=reset ") {
                return self.reset(&stream);
            } else if head.contains("?do=reset-in-head") {
                let _ = stream.write_all(&RESPONSE[..RESPONSE.len() / 2]).await;
                return self.reset(&stream);
            } else if head.contains("?do=reset-after-response") {
                let _ = stream.write_all(RESPONSE).await;
                return self.reset(&stream);
            } else if head.contains("?do=partial-body") {
                stream.write_all(PARTIAL_RESPONSE).await
            } else if head.contains("?do=reset-in-body") {
                let _ = stream.write_all(PARTIAL_RESPONSE).await;
                return self.reset(&stream);
            } else {
                stream.write_all(RESPONSE).await
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn reset(&self, stream: &TcpStream) {
        stream.set_zero_linger().expect("connection is open");
        self.resets.fetch_add(1, SeqCst);
    }
}

/// Reads the next request, drops its body and returns its head; `None` once the connection has ended.
async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut request = None;
    loop {
        let end = buffer.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4);
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
            request = Some((end + length.map_or(0, |n| n.parse().expect("a number")), head));
        }
        if let Some((size, head)) = request.take_if(|(size, _)| buffer.len() >= *size) {
            buffer.drain(..size);
            return Some(head);
        }
        let mut part = [0; 16 * 1024];
        match stream.read(&mut part).await {
            Ok(n @ 1..) => buffer.extend_from_slice(&part[..n]),
            Ok(_) | Err(_) => return None,
        }
    }
}
