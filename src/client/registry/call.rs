//! One call to a registry.

use super::Fault;
use crate::client::traffic::{Kind, Meter, Metered, Traffic};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer that is later than its wait by this is not coming. News counts as told 2 s after a wait is over, or 6 s
/// after it came up, whatever the settings: both are longer.
const PATIENCE: Duration = Duration::from_secs(1);
/// So much of an error's text is kept.
const MAX_WHY: usize = 200;

/// A kept connection to a registry.
pub struct Link {
    sender: SendRequest<Full<Bytes>>,
    meter: Rc<Meter>,
}

/// What is asked of a registry.
pub struct Call<'a> {
    /// What its traffic counts as.
    pub kind: Kind,
    /// Its method.
    pub method: Method,
    /// Its path, with the query.
    pub path: &'a str,
    /// What it brings.
    pub body: Bytes,
    /// How long it may wait for an answer.
    pub wait: Duration,
    /// Longest answer, bytes.
    pub max_answer: usize,
}

/// One call, and its answer. The connection is kept in `link`.
pub async fn call(
    link: &mut Option<Link>,
    address: SocketAddr,
    asked: Call<'_>,
    traffic: &Traffic,
) -> Result<Bytes, Fault> {
    let Call { kind, method, path, body, wait, max_answer } = asked;
    let call = async {
        let mut link_now = match link.take().filter(|l| !l.sender.is_closed()) {
            Some(link) => link,
            None => connect(address, kind, traffic).await?,
        };
        link_now.meter.carries(kind);
        let request = Request::builder().method(method).uri(path).header(header::HOST, address.to_string());
        let request = request.body(Full::new(body))?;
        traffic.sent(kind, 1, 0);
        let answer = link_now.sender.send_request(request).await?;
        let status = answer.status();
        let body =
            Limited::new(answer.into_body(), max_answer).collect().await.map_err(Fault::Body)?.to_bytes();
        traffic.received(kind, 1, 0);
        if link_now.sender.ready().await.is_ok() {
            *link = Some(link_now);
        }
        if status == StatusCode::OK {
            return Ok(body);
        }
        let why = String::from_utf8_lossy(&body[..body.len().min(MAX_WHY)]).trim().to_string();
        Err(Fault::Status { status, why: if why.is_empty() { why } else { format!(": {why}") } })
    };
    timeout(wait + PATIENCE, call).await.unwrap_or(Err(Fault::Silent))
}

async fn connect(address: SocketAddr, kind: Kind, traffic: &Traffic) -> Result<Link, Fault> {
    // The call's own time bounds it.
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let meter = Meter::new(kind, traffic.clone());
    let (sender, connection) = handshake(TokioIo::new(Metered::new(stream, meter.clone()))).await?;
    tokio::task::spawn_local(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(Link { sender, meter })
}
