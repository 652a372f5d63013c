//! The callers' side: takes requests, checks them, and writes each one's answer.

use crate::backend::{Call, Served};
use crate::body::{self, Flow, Held, Paced, Rest, Room};
use crate::counters::{Counters, Ending, Record};
use crate::engine::{Answer, Engine, Incoming};
use crate::lifecycle::{LINGER, Lifecycle};
use crate::stream::{Progress, Watched};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming as Inflow, SizeHint};
use hyper::header::{ALLOW, CONNECTION, EXPECT, HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};
use turnshift::api::Effect;
use turnshift::settings::Facts;

/// A caller may take so long to send a request's head, and may be idle for so long before it.
const HEAD: Duration = Duration::from_secs(60);
/// A caller that has sent no request's head so long after it connected is not a proper one.
const FIRST: Duration = Duration::from_millis(2500);
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);
/// Where places are short, a connection at rest for so long is closed.
const REST: Duration = Duration::from_secs(1);
/// Connections past the limit, taken only to be refused at once.
const SPARE: usize = 32;
/// Longest time that a caller may say it waits.
const MAX_PATIENCE_MS: u64 = 600_000;

type Reply = Response<Outflow>;

/// An answer's body. The request's record goes along and ends with it.
#[derive(Default)]
pub struct Outflow {
    data: Bytes,
    rest: Option<Paced>,
    record: Option<Record>,
    _room: Option<Held>,
}

impl Body for Outflow {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let data = std::mem::take(&mut self.data);
        let next = match &mut self.rest {
            _ if !data.is_empty() => Ok(Some(data)),
            None => Ok(None),
            Some(rest) => match rest.poll_next(cx) {
                Poll::Ready(next) => next,
                Poll::Pending => return Poll::Pending,
            },
        };
        if let (Err(_), Some(record)) = (&next, &mut self.record) {
            // The client can tell: its connection ends here.
            record.ends(Ending::Failed);
        }
        Poll::Ready(next.transpose().map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_empty() && self.rest.as_ref().is_none_or(Paced::over)
    }

    fn size_hint(&self) -> SizeHint {
        let data = self.data.len() as u64;
        match self.rest.as_ref().map(Paced::left) {
            None => SizeHint::with_exact(data),
            Some(Some(rest)) => SizeHint::with_exact(data + rest),
            Some(None) => SizeHint::default(),
        }
    }
}

/// What is needed to read requests.
pub struct Front {
    /// Decides them.
    pub engine: Rc<Engine>,
    /// The settings.
    pub facts: Facts,
    /// Counts them.
    pub counters: Rc<Counters>,
    /// Whether clients are taken.
    pub lifecycle: Rc<Lifecycle>,
    /// Most connections at once, of all processes together.
    pub connections: usize,
    /// Where bodies are held.
    pub room: Rc<Room>,
    /// How many processes there are.
    pub company: watch::Sender<u32>,
    /// How many there are.
    pub open: Cell<usize>,
}

impl Front {
    /// Most connections of this process.
    fn own(&self) -> usize {
        (self.connections / *self.company.borrow() as usize).max(1)
    }

    /// Accepts connections until the process stops and no more come; then closes them as they fall idle, and
    /// returns when the last one is.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut open = JoinSet::new();
        let crowd = watch::Sender::new(());
        let mut over = pin!(async {
            self.lifecycle.stopped().await;
            sleep(LINGER).await;
        });
        loop {
            self.open.set(open.len());
            let full = open.len() >= self.own() + SPARE;
            if full {
                // Connections that are left in the system's queue hold requests that we owe an answer, and
                // callers at rest may keep theirs for long: those make room.
                crowd.send_replace(());
            }
            tokio::select! {
                () = &mut over => break,
                () = sleep(STARVED), if full => {}
                Some(_) = open.join_next() => {}
                accepted = listener.accept(), if !full => match accepted {
                    Ok((stream, _)) => {
                        let crowded = open.len() >= self.own();
                        open.spawn_local(self.clone().connection(stream, crowd.subscribe(), crowded));
                    }
                    // No error ends the loop, out of descriptors or other: callers are waiting, and what is
                    // short comes free again.
                    Err(_) => sleep(STARVED).await,
                }
            }
        }
        // Where another process has taken over the address, nobody else will come for what still waits here.
        let waiting = queued(listener).unwrap_or_default();
        for stream in waiting {
            open.spawn_local(self.clone().connection(stream, crowd.subscribe(), true));
        }
        while open.join_next().await.is_some() {}
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, mut crowd: watch::Receiver<()>, crowded: bool) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (rests_since, asked) = (Cell::new(Instant::now()), Cell::new(false));
        let stream = Watched::new(TokioIo::new(stream));
        let seen = stream.progress();
        seen.await_head();
        let service = service_fn(async |request| {
            asked.set(true);
            if seen.contradicts() {
                let mut reply = plain(StatusCode::BAD_REQUEST);
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                return Ok(reply);
            }
            let reply = self.answer(request, crowded, &seen).await;
            rests_since.set(Instant::now());
            reply
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD)
            .max_buf_size(body::BUFFER)
            .serve_connection(stream, service);
        let mut connection = pin!(connection);
        let mut first = pin!(sleep(FIRST));
        let mut released = pin!(self.lifecycle.released());
        loop {
            tokio::select! {
                // However it ends, the caller is gone and its request, if any, was told so.
                _ = connection.as_mut() => return,
                () = &mut first, if !first.is_elapsed() => if !asked.get() { return },
                () = &mut released => {
                    // A request that is still on its way is the first here and must not be closed on; its
                    // answer closes the connection.
                    if asked.get() {
                        break;
                    }
                    released.set(self.lifecycle.released());
                }
                // Not the newest ones: their requests are on their way.
                _ = crowd.changed() => if rests_since.get().elapsed() > REST {
                    if !asked.get() {
                        // Half a head would be waited for.
                        return;
                    }
                    break;
                },
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn answer(
        &self,
        request: Request<Inflow>,
        crowded: bool,
        seen: &Progress,
    ) -> Result<Reply, Infallible> {
        let taking = || self.lifecycle.phase().takes();
        let expects = request.headers().contains_key(EXPECT);
        let ready = self.engine.ready() && taking();
        let ready = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        let asks_ready = request.uri().path() == "/health/ready";
        let read =
            async { if asks_ready { Err(Box::new(plain(ready))) } else { self.read(request, seen).await } };
        let mut reply = match read.await {
            Err(reply) => *reply,
            // Places are held by callers at rest too: what is refused is work past what can be carried.
            Ok((_, record)) if crowded && self.engine.owed() >= self.own() => {
                write(Answer::Refused { retry_after: None }, record)
            }
            Ok((incoming, record)) => self.decide(incoming, record, expects, seen).await,
        };
        // Those who ask once and stay would soon hold every place: as places run short, none is kept.
        if 2 * self.open.get() > self.own() || !taking() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply)
    }

    /// Waits for the answer. `expects` tells that the caller sends its body only once it is asked to.
    async fn decide(&self, incoming: Incoming, mut record: Record, expects: bool, seen: &Progress) -> Reply {
        let (rest, received) = (incoming.call.rest.clone(), incoming.received);
        // What flows for long has no end before the kill: for a late request it would be an answer begun and lost.
        let in_time = |answer: Answer, whole: Instant| match answer {
            Answer::Served(Served { rest: Some(_), .. }) if self.lifecycle.late(whole) => Answer::TimedOut,
            answer => answer,
        };
        let mut answer = pin!(self.engine.decide(incoming));
        let Some(rest) = rest else { return write(in_time(answer.await, received), record) };
        let answer = tokio::select! {
            answer = &mut answer => answer,
            flow = rest.settled() => {
                if flow != Flow::Broken {
                    seen.await_head();
                    record.taken();
                }
                answer.await
            }
        };
        let answer = match rest.state() {
            Flow::Whole(at) => in_time(answer, at),
            _ => answer,
        };
        // Closed with its body unread, the caller's connection would be reset and the answer lost.
        if !matches!(answer, Answer::Served(_))
            && let Some(flow) = rest.withdraw().filter(|_| rest.passed() || !expects)
        {
            spawn_local(flow.drain());
        }
        write(answer, record)
    }

    /// Reads a request, whole if it is small, or says what is wrong with it.
    async fn read(
        &self,
        request: Request<Inflow>,
        seen: &Progress,
    ) -> Result<(Incoming, Record), Box<Reply>> {
        let (head, body) = request.into_parts();
        let wrong = |status| Box::new(plain(status));
        let name = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let class = self.facts.site.classes.iter().position(|c| c == name);
        let class = class.ok_or_else(|| wrong(StatusCode::NOT_FOUND))?;
        let bad = || wrong(StatusCode::BAD_REQUEST);
        let id = one(&head.headers, "req-id").ok_or_else(bad)?.clone();
        let tenants = &self.facts.site.tenants;
        let owner = one(&head.headers, "req-owner").and_then(|o| o.to_str().ok());
        let tenant = match owner {
            _ if tenants.is_empty() => 0,
            owner => tenants.iter().position(|t| Some(t.as_str()) == owner).ok_or_else(bad)?,
        };
        let patience =
            one(&head.headers, "req-deadline-ms").and_then(|d| d.to_str().ok()?.parse::<u64>().ok());
        let patience = Duration::from_millis(patience.ok_or_else(bad)?.min(MAX_PATIENCE_MS));
        let key = one(&head.headers, "idempotency-key").cloned();
        let (method, keyed) = match self.facts.settings.classes[class].effect {
            Effect::Retryable => (Method::GET, None),
            Effect::Dedup { .. } => (Method::POST, Some(true)),
            Effect::Fragile => (Method::POST, Some(false)),
        };
        if head.method != method {
            let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED);
            let allow = HeaderValue::from_static(if method == Method::GET { "GET" } else { "POST" });
            reply.headers_mut().insert(ALLOW, allow);
            return Err(Box::new(reply));
        }
        if keyed.is_some_and(|k| k != key.is_some()) || keyed.is_none() && !body.is_end_stream() {
            return Err(bad());
        }
        let about = head.uri.query().and_then(|q| q.split('&').find_map(|p| p.strip_prefix("k=")));
        let about = about.filter(|k| !k.is_empty()).map(str::to_string);
        let mut body = Paced::new(body, body::CLIENT);
        let (length, mut held) = (body.left(), BytesMut::new());
        if length.is_some_and(|n| n > body::LARGEST) {
            let reply = wrong(StatusCode::PAYLOAD_TOO_LARGE);
            spawn_local(body.drain());
            return Err(reply);
        }
        // What cannot be held is asked for only when there is somebody to pass it on to.
        let mut room = self.room.take(length);
        let flows = room.is_none();
        let whole = !flows
            && body.hold(&mut held).await.map_err(|e| match e.kind() {
                io::ErrorKind::TimedOut => wrong(StatusCode::REQUEST_TIMEOUT),
                _ => bad(),
            })?;
        let received = Instant::now();
        let rest = (!whole).then(|| Rc::new(Rest::new(body, patience)));
        let held = held.freeze();
        if let Some(room) = &mut room {
            room.shrink(held.len());
        }
        let mut record = self.counters.record(class);
        if whole {
            seen.await_head();
            record.taken();
        }
        let host = head.headers.get(HOST).cloned();
        let uri = head.uri.path_and_query().cloned().map(Uri::from).ok_or_else(bad)?;
        let call = Call { method, uri, host, id, key, held, rest, _room: room };
        let (class, tenant) = (class as u16, tenant as u16);
        Ok((Incoming { call, class, tenant, key: about, received, patience }, record))
    }
}

/// Takes what a listener's queue holds and closes it.
fn queued(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    // Asked directly: the reactor may not have heard yet of the last ones to come.
    let listener = listener.into_std()?;
    let mut waiting = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        waiting.push(TcpStream::from_std(stream)?);
    }
    Ok(waiting)
}

/// A header that must come once, and not empty.
fn one<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|v| !v.is_empty() && values.next().is_none())
}

fn plain(status: StatusCode) -> Reply {
    let mut reply = Response::new(Outflow::default());
    *reply.status_mut() = status;
    reply
}

fn write(answer: Answer, mut record: Record) -> Reply {
    let none = Served { data: Bytes::new(), rest: None, room: None };
    let (status, ending, served, wait) = match answer {
        Answer::Served(served) => (StatusCode::OK, Ending::Served, served, None),
        Answer::Refused { retry_after } => {
            (StatusCode::SERVICE_UNAVAILABLE, Ending::Refused, none, retry_after)
        }
        Answer::Failed => (StatusCode::BAD_GATEWAY, Ending::Failed, none, None),
        Answer::TimedOut => (StatusCode::GATEWAY_TIMEOUT, Ending::Failed, none, None),
        Answer::Broken => (StatusCode::REQUEST_TIMEOUT, Ending::Failed, none, None),
    };
    record.ends(ending);
    let Served { data, rest, room } = served;
    let mut reply = Response::new(Outflow { data, rest, record: Some(record), _room: room });
    *reply.status_mut() = status;
    if status == StatusCode::REQUEST_TIMEOUT {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let seconds = wait.map(|d| format!("{:.3}", d.as_secs_f64()));
    if let Some(value) = seconds.and_then(|s| HeaderValue::try_from(s).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Closed with its queue full, a listener would reset those who wait in it.
    #[tokio::test]
    async fn who_waits_in_a_listeners_queue_is_taken_before_it_closes() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let connect = |_| std::net::TcpStream::connect(address).expect("the queue takes it");
        let clients: Vec<_> = (0..5).map(connect).collect();
        let taken = queued(listener).expect("sound");
        let mut peers: Vec<_> = taken.iter().map(|s| s.peer_addr().expect("open")).collect();
        let mut expected: Vec<_> = clients.iter().map(|c| c.local_addr().expect("open")).collect();
        peers.sort();
        expected.sort();
        assert_eq!(peers, expected);
        assert!(std::net::TcpStream::connect(address).is_err(), "and nobody waits for nothing");
    }
}
