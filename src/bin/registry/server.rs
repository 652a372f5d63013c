//! Discovery over HTTP/1.1: the list, the watch, and registrations.

use crate::lease::{Ask, Lease, Refused};
use crate::store::Entry;
use crate::writer::{Done, Failed, Fence, Order, Orders, Shared, Want};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::timeout;
use tokio_io_timeout::TimeoutStream;
use tracing::{debug, warn};

/// The longest a watch waits (PROTOCOL, "Discovery").
pub const MAX_WAIT_MS: u64 = 60_000;
/// Shortest and longest TTL of a registration.
pub const TTL_MS: (u64, u64) = (100, 86_400_000);
/// Bodies of writes that are held at once.
const MAX_BODIES_KIB: usize = 64 << 10;
/// At most so many entries in one write.
const MAX_ENTRIES: usize = 10_000;

/// Limits of the serving side.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Connections open at once; more are closed as they come.
    pub connections: usize,
    /// A request's head must be in within this.
    pub header_timeout: Duration,
    /// Longest body of a write, in bytes.
    pub max_body: usize,
}

/// A registration: the same entries as the list, each to be renewed within its TTL.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Write {
    ttl_ms: u64,
    hosts: Vec<Entry>,
    /// Where the write is done for a duty: it is refused unless the token is that of the present holder.
    fence: Option<Fence>,
}

type Answer = Response<Full<Bytes>>;

fn answer(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let kind = if status == StatusCode::OK { "application/json" } else { "text/plain" };
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}

fn refuse(status: StatusCode, why: impl std::fmt::Display) -> Answer {
    let mut response = answer(status, format!("{why}\n"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    }
    response
}

/// Serves for ever.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, orders: Orders, limits: Limits) {
    let places = Arc::new(Semaphore::new(limits.connections));
    let bodies = Arc::new(Semaphore::new(MAX_BODIES_KIB.max(limits.max_body / 1024 + 1)));
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(e) => {
                // Out of descriptors, most likely: wait for some to come back rather than spin.
                warn!(error = %e, "accept failed");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            debug!(%peer, "connection closed: every place is taken");
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (shared, orders, bodies) = (shared.clone(), orders.clone(), bodies.clone());
        // One who takes nothing of its answer is let go, as one who sends nothing is.
        let mut stream = TimeoutStream::new(stream);
        stream.set_write_timeout(Some(limits.header_timeout));
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                handle(request, shared.clone(), orders.clone(), bodies.clone(), limits)
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.header_timeout)
                .serve_connection(TokioIo::new(Box::pin(stream)), service);
            if let Err(e) = connection.await {
                debug!(%peer, error = %e, "connection ended");
            }
            drop(place);
        });
    }
}

async fn handle(
    request: Request<Incoming>,
    shared: Arc<Shared>,
    orders: Orders,
    bodies: Arc<Semaphore>,
    limits: Limits,
) -> Result<Answer, std::convert::Infallible> {
    let at = (request.uri().path(), request.method());
    Ok(match at {
        ("/registry/instances", &Method::GET) => read(request.uri().query().unwrap_or(""), &shared).await,
        ("/registry/instances", &Method::PUT) => write(request, &orders, &bodies, limits).await,
        ("/registry/instances", _) => {
            refuse(StatusCode::METHOD_NOT_ALLOWED, "GET reads the list, PUT registers")
        }
        ("/registry/leases", &Method::GET) => leases(&shared),
        ("/registry/leases", &Method::PUT | &Method::DELETE) => {
            lease(request, &orders, &bodies, limits).await
        }
        ("/registry/leases", _) => refuse(
            StatusCode::METHOD_NOT_ALLOWED,
            "GET reads the leases, PUT acquires or renews, DELETE releases",
        ),
        _ => refuse(
            StatusCode::NOT_FOUND,
            "no such path; the list is at /registry/instances, the leases are at /registry/leases",
        ),
    })
}

/// `after` and `wait_ms` of a watch.
fn query(text: &str) -> Result<(Option<u64>, u64), String> {
    let (mut after, mut wait) = (None, 0);
    for pair in text.split('&').filter(|p| !p.is_empty()) {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let number = value.parse::<u64>().map_err(|_| format!("{key}: {value:?} is not a whole number"))?;
        match key {
            "after" => after = Some(number),
            "wait_ms" if number <= MAX_WAIT_MS => wait = number,
            "wait_ms" => return Err(format!("wait_ms: at most {MAX_WAIT_MS}")),
            _ => return Err(format!("{key}: unknown; the list takes after and wait_ms")),
        }
    }
    Ok((after, wait))
}

async fn read(query_text: &str, shared: &Shared) -> Answer {
    let (after, wait) = match query(query_text) {
        Ok(asked) => asked,
        Err(why) => return refuse(StatusCode::BAD_REQUEST, why),
    };
    if let Some(after) = after {
        let mut newest = shared.newest.subscribe();
        if *newest.borrow_and_update() == after && wait > 0 {
            // Nothing newer yet: wait for it, or for the end of the wait. The waiting is this future alone.
            let _ = timeout(Duration::from_millis(wait), newest.wait_for(|seq| *seq > after)).await;
        }
    }
    let page = shared.pages.lock().unwrap_or_else(|p| p.into_inner()).get(&shared.state(), after);
    match page {
        Ok(body) => answer(StatusCode::OK, body),
        Err(e) => refuse(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

/// A body as JSON, or the refusal that it gets.
async fn body<T: DeserializeOwned>(
    request: Request<Incoming>,
    bodies: &Semaphore,
    limits: Limits,
) -> Result<T, Answer> {
    // Writes in work hold so much memory together; a body of unknown length counts as the longest.
    let length =
        request.body().size_hint().exact().unwrap_or(limits.max_body as u64).min(limits.max_body as u64);
    let Ok(_held) = bodies.try_acquire_many((length / 1024 + 1) as u32) else {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "too many writes at once"));
    };
    let body = Limited::new(request.into_body(), limits.max_body).collect();
    let Ok(body) = timeout(limits.header_timeout, body).await else {
        return Err(refuse(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"));
    };
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, format!("at most {} bytes", limits.max_body)));
        }
        Err(e) => return Err(refuse(StatusCode::BAD_REQUEST, e)),
    };
    serde_json::from_slice(&body).map_err(|e| refuse(StatusCode::BAD_REQUEST, e))
}

/// Hands a want to the writer and waits until it is on disk.
async fn ordered(want: Want, orders: &Orders) -> Answer {
    let (told, answered) = oneshot::channel();
    if orders.send(Order { want, answer: told }).is_err() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the writer has stopped");
    }
    let json = |status, value: serde_json::Value| answer(status, value.to_string());
    match answered.await {
        Ok(Ok(Done::Stored(seq))) => answer(StatusCode::OK, format!("{{\"seq\":{seq}}}")),
        Ok(Ok(Done::Lease(lease))) => json(StatusCode::OK, json!(lease)),
        Ok(Err(Failed::Lease(Refused::Held(lease, left_ms)))) => {
            json(StatusCode::CONFLICT, json!({"held": lease, "left_ms": left_ms}))
        }
        Ok(Err(Failed::Lease(Refused::NotHeld))) => {
            refuse(StatusCode::CONFLICT, "not held, or no longer, by this holder with this token")
        }
        Ok(Err(Failed::Lease(Refused::TooMany))) => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, "too many duties are held")
        }
        Ok(Err(Failed::Fenced)) => {
            refuse(StatusCode::CONFLICT, "fence: not the token of the duty's present holder")
        }
        Ok(Err(Failed::Storage(why))) => refuse(StatusCode::SERVICE_UNAVAILABLE, format!("storage: {why}")),
        Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, "the writer has stopped"),
    }
}

/// All leases that are on disk.
fn leases(shared: &Shared) -> Answer {
    let state = shared.state();
    let leases: Vec<&Lease> = state.leases.values().collect();
    answer(StatusCode::OK, json!({"leases": leases}).to_string())
}

/// PUT without a token acquires, with one renews; DELETE releases.
async fn lease(request: Request<Incoming>, orders: &Orders, bodies: &Semaphore, limits: Limits) -> Answer {
    let releases = request.method() == Method::DELETE;
    let ask: Ask = match body(request, bodies, limits).await {
        Ok(ask) => ask,
        Err(refusal) => return refusal,
    };
    if releases != ask.ttl_ms.is_none() {
        return refuse(StatusCode::BAD_REQUEST, "ttl_ms: goes with PUT, and only with it");
    }
    match ask.invalid() {
        Some(why) => refuse(StatusCode::BAD_REQUEST, why),
        None => ordered(Want::Lease(ask), orders).await,
    }
}

async fn write(request: Request<Incoming>, orders: &Orders, bodies: &Semaphore, limits: Limits) -> Answer {
    let write: Write = match body(request, bodies, limits).await {
        Ok(write) => write,
        Err(refusal) => return refusal,
    };
    if !(TTL_MS.0..=TTL_MS.1).contains(&write.ttl_ms) {
        return refuse(StatusCode::BAD_REQUEST, format!("ttl_ms: from {} to {}", TTL_MS.0, TTL_MS.1));
    }
    if write.hosts.len() > MAX_ENTRIES {
        return refuse(StatusCode::BAD_REQUEST, format!("hosts: at most {MAX_ENTRIES} in one write"));
    }
    if let Some(why) = write.hosts.iter().find_map(Entry::invalid) {
        return refuse(StatusCode::BAD_REQUEST, why);
    }
    let ttl = Duration::from_millis(write.ttl_ms);
    ordered(Want::Entries { entries: write.hosts, ttl, fence: write.fence }, orders).await
}

#[cfg(test)]
mod tests {
    use super::query;

    #[test]
    fn a_watch_is_read_or_refused_plainly() {
        assert_eq!(query("after=4&wait_ms=60000"), Ok((Some(4), 60_000)));
        assert_eq!(query(""), Ok((None, 0)));
        assert!(query("wait_ms=60001").is_err());
        assert!(query("after=-1").is_err());
        assert!(query("after=1&colour=red").is_err());
    }
}
