//! Seeded rounds of long bodies and long responses under limits and ends of attempts by chance. `SOAK_SECONDS` and
//! `SOAK_SEED` make it longer, or another one.

mod rig;
mod waits;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::handshake;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rig::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Sleep, sleep};

const BACKENDS: usize = 8;
const DEFAULT_SECONDS: u64 = 60;
const DEFAULT_SEED: u64 = 51;

/// What was found wrong, and how often each end of a request was seen.
#[derive(Default)]
struct Findings {
    faults: Mutex<Vec<String>>,
    ends: Mutex<BTreeMap<String, usize>>,
}

/// A body that comes in pieces with a pause after each.
struct PacedBody {
    left: Bytes,
    piece: usize,
    pause: Duration,
    known_length: bool,
    sleep: Option<Pin<Box<Sleep>>>,
    /// Where to report a response that is dropped before its end.
    reports_to: Option<(String, Arc<Findings>)>,
}

impl PacedBody {
    /// Returns a body at 64 kB a second or faster.
    fn new(data: Vec<u8>, random: &mut fastrand::Rng) -> Self {
        let pause_ms = random.u64(1..200);
        let piece = pause_ms as usize * random.usize(64..1024);
        let (pause, known_length) = (Duration::from_millis(pause_ms), random.bool());
        PacedBody { left: data.into(), piece, pause, known_length, sleep: None, reports_to: None }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = io::Error;
    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(sleep) = &mut self.sleep {
            ready!(sleep.as_mut().poll(cx));
        }
        let piece = self.piece.min(self.left.len());
        let data = self.left.split_to(piece);
        self.sleep = Some(Box::pin(sleep(self.pause)));
        Poll::Ready((!data.is_empty()).then(|| Ok(Frame::data(data))))
    }
    fn size_hint(&self) -> SizeHint {
        if self.known_length { SizeHint::with_exact(self.left.len() as u64) } else { SizeHint::default() }
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        if let Some((id, findings)) = self.reports_to.take().filter(|_| !self.left.is_empty()) {
            let fault = format!("the response to {id} was cut off, {} bytes left", self.left.len());
            findings.faults.lock().expect("lock is not poisoned").push(fault);
        }
    }
}

/// Returns the body that the client with this id sends: each line has its place.
fn body_of(id: &str) -> Vec<u8> {
    let length = usize::from_str_radix(id, 16).expect("a number") * 7919 % 150_000;
    let mut body: Vec<u8> = (0..=length / 20).flat_map(|n| format!("{id} {n}\n").into_bytes()).collect();
    body.truncate(length);
    body
}

type Reply = Response<BoxBody<Bytes, io::Error>>;

fn reply(status: u16, declined: &str, body: String) -> Reply {
    let body = Full::new(Bytes::from(body)).map_err(|e| match e {}).boxed();
    Response::builder().status(status).header("srv-declined", declined).body(body).expect("valid response")
}

/// Answers a request, or ends it in another way by chance.
async fn respond(request: Request<Incoming>, findings: Arc<Findings>) -> io::Result<Reply> {
    let id = request.headers()["req-id"].to_str().map_err(io::Error::other)?.to_string();
    let mut random = fastrand::Rng::new();
    if request.method() == "GET" {
        let mut answer = PacedBody::new(vec![b'y'; random.usize(66_000..300_000)], &mut random);
        answer.reports_to = Some((id, findings));
        return Ok(Response::new(answer.boxed()));
    }
    let (mut body, end) = (request.into_body(), random.u32(0..8));
    if matches!(end, 1 | 2) {
        // Some of the body is read before the end.
        let _ = body.frame().await;
    }
    if matches!(end, 0 | 1) {
        tokio::spawn(body.collect());
        return Ok(reply(503, "1", "full".to_string()));
    } else if matches!(end, 2 | 3) {
        return Err(io::Error::other("connection closed by the test"));
    }
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let sent = body_of(&id);
    if body != sent {
        let fault = format!("{id} came whole with {} bytes, its client sent {}", body.len(), sent.len());
        findings.faults.lock().expect("lock is not poisoned").push(fault);
    }
    Ok(reply(200, "0", body.len().to_string()))
}

async fn start_backend(findings: &Arc<Findings>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("listener is bound");
    let findings = findings.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let findings = findings.clone();
            let service = service_fn(move |request| respond(request, findings.clone()));
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// Sends one request, and checks a response that says that it was served.
async fn call(proxy: SocketAddr, id: String, findings: Arc<Findings>) -> io::Result<()> {
    let mut random = fastrand::Rng::with_seed(u64::from_str_radix(&id, 16).expect("a number"));
    sleep(Duration::from_millis(random.u64(0..500))).await;
    let is_upload = random.bool();
    let (class, sent) = if is_upload { ("once", body_of(&id)) } else { ("look", Vec::new()) };
    let mut body = PacedBody::new(sent.clone(), &mut random);
    body.known_length |= !is_upload;
    let mut request = request(class).body(body.boxed()).expect("valid request");
    request.headers_mut().insert("req-id", id.parse().expect("valid header value"));
    if is_upload && random.bool() {
        request.headers_mut().insert("expect", "100-continue".parse().expect("valid header value"));
    }
    let stream = TcpStream::connect(proxy).await?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let status = response.status();
    *findings.ends.lock().expect("lock is not poisoned").entry(format!("{class} {status}")).or_default() += 1;
    let answer = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    if status == StatusCode::OK && is_upload && answer != sent.len().to_string() {
        let fault = format!("{id} of {} bytes was answered with {answer:?}", sent.len());
        findings.faults.lock().expect("lock is not poisoned").push(fault);
    }
    Ok(())
}

/// Plays a third of the descriptors' clients, each with one request, at a proxy with these limits.
async fn play(round: usize, random: &mut fastrand::Rng, findings: &Arc<Findings>) {
    let mut entries = Vec::new();
    for n in 0..BACKENDS {
        let address = start_backend(findings).await;
        // A new process admits twice as many requests as it has backends.
        entries.extend((0..24).map(|m| endpoint_entry(&format!("b{n}-{m}"), address, "SERVING")));
    }
    let discovery = TestDiscovery::start(entries).await;
    let mut config = discovery.proxy_config(settings());
    let memory_mb = [32, 64, 192][random.usize(0..3)];
    let sockets = [256, 512, 1024][random.usize(0..3)];
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets});
    if random.bool() {
        config["ops"] = "127.0.0.1:0".into();
    }
    let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_synced().await;
    let first = random.u64(0..1 << 40);
    let id = |n| format!("{:016x}", first + n);
    let clients = 0..sockets as u64 / 3;
    let calls: JoinSet<_> = clients.map(|n| call(proxy.addr, id(n), findings.clone())).collect();
    // A response that breaks off is reported where its body is dropped.
    within_deadline(calls.join_all()).await;
    let peak = proxy.peak_memory_mb();
    println!("round {round}: limits {}, ops {}, peak {peak} MB", config["limits"], config["ops"]);
    assert!(peak < memory_mb, "{peak} MB of {memory_mb}");
}

/// Guards against bodies that reach a backend with a piece missing, and responses that are cut off while they are given.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_and_responses_are_whole_however_attempts_end() {
    let number = |name, default| std::env::var(name).map_or(default, |text| text.parse().expect("a number"));
    let (seconds, seed) = (number("SOAK_SECONDS", DEFAULT_SECONDS), number("SOAK_SEED", DEFAULT_SEED));
    let (began, mut random) = (Instant::now(), fastrand::Rng::with_seed(seed));
    let findings = Arc::new(Findings::default());
    let mut rounds = 0;
    while began.elapsed() < Duration::from_secs(seconds) {
        play(rounds, &mut random, &findings).await;
        rounds += 1;
    }
    let faults = findings.faults.lock().expect("lock is not poisoned");
    println!("seed {seed}, {rounds} rounds: {:?}", findings.ends.lock().expect("lock is not poisoned"));
    assert!(faults.is_empty(), "seed {seed}: {} faults, the first: {:?}", faults.len(), faults.first());
}
