//! HTTP backends that handle each request as a test has queued.

use super::within_deadline;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

/// How a backend handles one request.
pub enum BackendAction {
    Serve,
    /// Serves with this status.
    Status(u16),
    /// Responds with this status and the `srv-declined` header.
    Decline(u16),
    /// Closes the connection without a response.
    CloseConnection,
    /// Closes the connection in the middle of a response body.
    BreakBody,
    /// Serves once the notification arrives.
    ServeAfter(Arc<Notify>),
    /// Serves a body of `len` bytes, with a content length if `known_length`, else in chunks.
    LongBody {
        len: usize,
        known_length: bool,
    },
    /// Announces a body like `LongBody`, sends half of it, then closes the connection.
    TruncatedLongBody {
        len: usize,
        known_length: bool,
    },
    /// Closes the connection after reading this many bytes of the request body.
    CloseAfterReading(usize),
}

/// State shared by backends: queued actions, taken by whichever backend gets the next request, and the
/// requests received.
#[derive(Default)]
pub struct BackendControl {
    next: Mutex<VecDeque<BackendAction>>,
    /// Complete requests: name of the backend, head and body.
    pub requests: watch::Sender<Vec<(&'static str, Parts, Bytes)>>,
    /// Requests closed after a part of the body was read.
    pub partial_requests: watch::Sender<usize>,
    /// Requests whose connection closed before their backend responded.
    pub abandoned: watch::Sender<usize>,
}

impl BackendControl {
    /// Appends actions for the next requests.
    pub fn enqueue(&self, actions: impl IntoIterator<Item = BackendAction>) {
        self.next.lock().expect("lock is not poisoned").extend(actions);
    }
    /// Drops the queued actions.
    pub fn clear(&self) {
        self.next.lock().expect("lock is not poisoned").clear();
    }
    /// Waits until at least `n` requests have arrived.
    pub async fn wait_for_requests(&self, n: usize) {
        within_deadline(self.requests.subscribe().wait_for(|s| s.len() >= n))
            .await
            .expect("watch sender is alive");
    }
    /// Counts the requests that the named backend received.
    pub fn request_count(&self, name: &str) -> usize {
        self.requests.borrow().iter().filter(|(n, ..)| *n == name).count()
    }
}

/// Counts a request as abandoned if it is dropped before the response.
struct AbandonGuard<'a> {
    control: &'a BackendControl,
    armed: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.control.abandoned.send_modify(|n| *n += 1);
        }
    }
}

/// A body that fails after its first frame.
#[derive(Default)]
pub(super) struct BrokenBody {
    sent_first: bool,
}

/// A response body sent in frames of up to 10,000 bytes; fails at `fail_at` remaining bytes unless that is 0.
pub struct LongBody {
    pub remaining: usize,
    pub fail_at: usize,
    pub known_length: bool,
}

impl Body for LongBody {
    type Data = Bytes;
    type Error = io::Error;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.fail_at > 0 && self.remaining <= self.fail_at {
            return Poll::Ready(Some(Err(io::Error::other("body truncated by the test"))));
        }
        let n = self.remaining.min(10_000);
        self.remaining -= n;
        Poll::Ready((n > 0).then(|| Ok(Frame::data(vec![b'y'; n].into()))))
    }
    fn size_hint(&self) -> SizeHint {
        if self.known_length { SizeHint::with_exact(self.remaining as u64) } else { SizeHint::default() }
    }
}

impl Body for BrokenBody {
    type Data = Bytes;
    type Error = io::Error;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let first = !std::mem::replace(&mut self.sent_first, true);
        Poll::Ready(Some(if first {
            Ok(Frame::data("half".into()))
        } else {
            Err(io::Error::other("body truncated by the test"))
        }))
    }
}

/// An HTTP/1 backend on a loopback port.
pub struct TestBackend {
    pub name: &'static str,
    pub addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    close: watch::Sender<()>,
    /// Number of open connections.
    pub open_connections: Arc<watch::Sender<usize>>,
}

impl TestBackend {
    pub async fn start(name: &'static str, control: &Arc<BackendControl>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a loopback port");
        TestBackend::with_listener(name, listener, control)
    }

    /// Starts a backend on a listener.
    pub fn with_listener(name: &'static str, listener: TcpListener, control: &Arc<BackendControl>) -> Self {
        let addr = listener.local_addr().expect("listener has a local address");
        let (connections, control) = (Arc::<AtomicUsize>::default(), control.clone());
        let (close, open) = (watch::Sender::new(()), Arc::new(watch::Sender::new(0)));
        let (count, closing, alive) = (connections.clone(), close.clone(), open.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepts a connection");
                count.fetch_add(1, SeqCst);
                alive.send_modify(|n| *n += 1);
                let (control, alive, mut closing) = (control.clone(), alive.clone(), closing.subscribe());
                tokio::spawn(async move {
                    let service = service_fn(|request| respond(name, &control, request));
                    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let mut connection = pin!(connection);
                    let ended = tokio::select! {
                        _ = connection.as_mut() => true,
                        _ = closing.changed() => false,
                    };
                    if !ended {
                        connection.as_mut().graceful_shutdown();
                        let _ = connection.await;
                    }
                    alive.send_modify(|n| *n -= 1);
                });
            }
        });
        TestBackend { name, addr, connections, close, open_connections: open }
    }

    /// Counts all connections accepted so far.
    pub fn connections_total(&self) -> usize {
        self.connections.load(SeqCst)
    }

    /// Closes all connections, which must be idle, and waits for their end.
    pub async fn close_idle(&self) {
        self.close.send_replace(());
        self.wait_all_closed().await;
    }

    /// Waits until no connection is open.
    pub async fn wait_all_closed(&self) {
        within_deadline(self.open_connections.subscribe().wait_for(|n| *n == 0))
            .await
            .expect("watch sender is alive");
    }

    /// Returns the list entry of this backend.
    pub fn endpoint_entry(&self, health: &str) -> Value {
        endpoint_entry(self.name, self.addr, health)
    }
}

/// Returns an entry in the form of a discovery list.
pub fn endpoint_entry(host: &str, addr: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": addr.to_string(), "site": "a", "class": "m", "block": 1,
           "health": health, "share": 1.0, "born_ms": 0})
}

type Reply = Response<BoxBody<Bytes, io::Error>>;

async fn respond(
    name: &'static str,
    control: &BackendControl,
    request: Request<Incoming>,
) -> io::Result<Reply> {
    let (head, mut body) = request.into_parts();
    let read_limit = match control.next.lock().expect("lock is not poisoned").front() {
        Some(BackendAction::CloseAfterReading(n)) => Some(*n),
        _ => None,
    };
    if let Some(limit) = read_limit {
        control.next.lock().expect("lock is not poisoned").pop_front();
        let mut read = 0;
        while read < limit {
            let Some(Ok(frame)) = body.frame().await else { break };
            read += frame.data_ref().map_or(0, Bytes::len);
        }
        control.partial_requests.send_modify(|n| *n += 1);
        return Err(io::Error::other("connection closed by the test"));
    }
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let action =
        control.next.lock().expect("lock is not poisoned").pop_front().unwrap_or(BackendAction::Serve);
    control.requests.send_modify(|s| s.push((name, head, body)));
    let text = |text: &'static str| Full::new(Bytes::from(text)).map_err(|e| match e {}).boxed();
    let mut reply = Response::new(text(name));
    match action {
        BackendAction::Serve => {}
        BackendAction::Status(status) => {
            *reply.status_mut() = StatusCode::from_u16(status).expect("valid status code")
        }
        BackendAction::Decline(status) => {
            *reply.status_mut() = StatusCode::from_u16(status).expect("valid status code");
            reply.headers_mut().insert("srv-declined", "1".parse().expect("valid header value"));
        }
        BackendAction::CloseConnection => return Err(io::Error::other("connection closed by the test")),
        BackendAction::BreakBody => reply = Response::new(BrokenBody::default().boxed()),
        BackendAction::LongBody { len, known_length } => {
            reply = Response::new(LongBody { remaining: len, fail_at: 0, known_length }.boxed())
        }
        BackendAction::TruncatedLongBody { len, known_length } => {
            reply = Response::new(LongBody { remaining: len, fail_at: len / 2, known_length }.boxed())
        }
        BackendAction::CloseAfterReading(_) => unreachable!("handled before the body was read"),
        BackendAction::ServeAfter(release) => {
            let mut guard = AbandonGuard { control, armed: true };
            release.notified().await;
            guard.armed = false;
        }
    }
    Ok(reply)
}
