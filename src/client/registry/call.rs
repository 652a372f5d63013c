//! One HTTP call to a registry, over a connection that is kept between calls.
//!
//! The caller owns the kept [`Connection`]. A call opens one where there is none or where the peer has closed it,
//! counts its messages and bytes under its [`TrafficKind`], and ends in bounded time.

use super::CallError;
use crate::client::traffic::{MeteredStream, StreamMeter, Traffic, TrafficKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long after the end of its wait an answer may still come; later the call fails as [`CallError::TimedOut`].
///
/// Failure: a registry accepts a watch and never answers, and the client goes on with an old list. The platform
/// expects a change to be in force 2 s after a watch's wait ends, or 6 s after the change, whatever is configured; a
/// silent watch is noticed before both.
const ANSWER_GRACE: Duration = Duration::from_secs(1);
/// Bytes of an error answer's text that are kept for the log.
const MAX_ERROR_TEXT: usize = 200;

/// A kept connection to a registry.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<StreamMeter>,
}

/// A call to a registry.
pub struct Call<'a> {
    /// The kind under which its traffic is counted.
    pub kind: TrafficKind,
    /// Its method.
    pub method: Method,
    /// Its path, with the query.
    pub path: &'a str,
    /// Its body; empty for none.
    pub body: Bytes,
    /// How long the registry may wait before it answers; the call times out 1 s later.
    pub wait: Duration,
    /// The longest accepted answer, in bytes.
    pub max_answer: usize,
}

/// Makes a call and returns the body of its answer, which has status 200.
///
/// A usable `connection` is taken and put back once the answer is complete. After an error none is put back, except
/// after [`CallError::Status`], whose answer was read to its end.
pub async fn call(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    call: Call<'_>,
    traffic: &Traffic,
) -> Result<Bytes, CallError> {
    let time_limit = call.wait + ANSWER_GRACE;
    let exchange = exchange(connection, address, call, traffic);
    timeout(time_limit, exchange).await.unwrap_or(Err(CallError::TimedOut))
}

async fn exchange(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    call: Call<'_>,
    traffic: &Traffic,
) -> Result<Bytes, CallError> {
    let Call { kind, method, path, body, max_answer, .. } = call;
    let mut open = match connection.take().filter(|kept| !kept.sender.is_closed()) {
        Some(kept) => kept,
        None => connect(address, kind, traffic).await?,
    };
    open.meter.set_kind(kind);
    let request = Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
    let request = request.body(Full::new(body))?;
    traffic.record_sent(kind, 1, 0);
    let answer = open.sender.send_request(request).await?;
    let status = answer.status();
    let body = read_body(answer, max_answer).await?;
    traffic.record_received(kind, 1, 0);
    if open.sender.ready().await.is_ok() {
        *connection = Some(open);
    }
    if status == StatusCode::OK { Ok(body) } else { Err(status_error(status, &body)) }
}

async fn read_body(answer: Response<Incoming>, max_answer: usize) -> Result<Bytes, CallError> {
    let body = Limited::new(answer.into_body(), max_answer);
    Ok(body.collect().await.map_err(CallError::Body)?.to_bytes())
}

fn status_error(status: StatusCode, body: &[u8]) -> CallError {
    let begin = &body[..body.len().min(MAX_ERROR_TEXT)];
    let text = String::from_utf8_lossy(begin).trim().to_string();
    let why = if text.is_empty() { text } else { format!(": {text}") };
    CallError::Status { status, why }
}

/// Opens a connection. It has no timeout of its own: the call's time limit covers it.
async fn connect(address: SocketAddr, kind: TrafficKind, traffic: &Traffic) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let meter = StreamMeter::new(kind, traffic.clone());
    let io = TokioIo::new(MeteredStream::new(stream, meter.clone()));
    let (sender, connection) = handshake(io).await?;
    tokio::task::spawn_local(async move {
        // An error that ends the connection fails the call on it or shows as a closed sender.
        let _ = connection.await;
    });
    Ok(Connection { sender, meter })
}
