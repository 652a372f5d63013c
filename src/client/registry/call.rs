//! HTTP call to a registry, over a connection that is kept between calls.
//!
//! The caller owns the kept [`Connection`]. A call opens a new one if there is none or the peer has closed it, counts
//! its messages and bytes under its [`TrafficKind`], and ends in bounded time.

use super::CallError;
use super::call_trace::CallTrace;
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

/// Most bytes of an error answer's text that are kept for the error message.
const MAX_ERROR_TEXT: usize = 200;

/// Open connection to a registry, which the caller keeps between calls.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<StreamMeter>,
}

/// Parameters of a call to a registry.
#[derive(Clone)]
pub struct Call<'a> {
    /// Kind under which the call's traffic is counted.
    pub kind: TrafficKind,
    /// HTTP method.
    pub method: Method,
    /// Path with the query.
    pub path: &'a str,
    /// Body of the request; may be empty.
    pub body: Bytes,
    /// Time for which the registry may delay its answer.
    pub wait: Duration,
    /// Longest accepted body of the answer, in bytes.
    pub max_answer: usize,
}

/// Makes a call and returns the body of the answer with status 200.
///
/// The call takes `connection` if it is usable, and puts it back once the answer is complete. After an error no
/// connection is put back, except after [`CallError::Status`], whose answer was read to its end. The call fails with
/// [`CallError::TimedOut`] if its answer is not complete `answer_limit` after its wait.
pub async fn call(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    call: Call<'_>,
    answer_limit: Duration,
    traffic: &Traffic,
) -> Result<Bytes, CallError> {
    let time_limit = call.wait + answer_limit;
    let trace = CallTrace::start(call.kind, address, call.path, time_limit);
    let exchange = exchange(connection, address, call, traffic);
    let result = timeout(time_limit, exchange).await.unwrap_or(Err(CallError::TimedOut));
    trace.end(&result);
    result
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
    let start = &body[..body.len().min(MAX_ERROR_TEXT)];
    let text = String::from_utf8_lossy(start).trim().to_string();
    let why = if text.is_empty() { text } else { format!(": {text}") };
    CallError::Status { status, why }
}

/// Opens a connection. There is no separate timeout: the call's time limit covers it.
async fn connect(address: SocketAddr, kind: TrafficKind, traffic: &Traffic) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let meter = StreamMeter::new(kind, traffic.clone());
    let io = TokioIo::new(MeteredStream::new(stream, meter.clone()));
    let (sender, connection) = handshake(io).await?;
    tokio::task::spawn_local(async move {
        // An error on the connection also fails the pending call or closes the sender, so it is not handled here.
        let _ = connection.await;
    });
    Ok(Connection { sender, meter })
}
