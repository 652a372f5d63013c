//! Clients send long bodies slowly, in chunks. Some backends turn a request away as soon as they have read its head
//! (queue full), and another backend gets it. Every request that a backend gets whole must be one that a client sent.

#[path = "../standins-2/rig.rs"]
mod rig;

use rig::*;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 4;
const CLIENTS: usize = 60;
const PLAY: Duration = Duration::from_secs(60);
/// A piece of a body and the pause after it: 64 kB a second.
const PIECE_BYTES: usize = 128;
const PIECE_MS: u64 = 2;
/// Pieces of a body, about 100 kB.
const PIECES: usize = 780;

type Found = Arc<Mutex<Vec<String>>>;

fn main() {
    let case = Case::from_env();
    let found = Found::default();
    let wholes = Arc::new(AtomicU64::new(0));
    let declined = Arc::new(AtomicU64::new(0));
    let hosts = (0..BACKENDS)
        .map(|n| start_backend(&case, n, found.clone(), wholes.clone(), declined.clone()))
        .collect();
    let agent = Agent::start(case.record.clone(), hosts);
    let listen = free_address();
    let settings = settings(&class("page-save", "fragile", "all", 0.0), CAPS);
    let config = proxy_config("n1", listen, agent.address, &settings, "");
    let file = case.tmp.join("config.json");
    std::fs::write(&file, config).unwrap_or_else(|e| die(&format!("config: {e}")));
    let env = [("RELAY_CONFIG", file.display().to_string()), ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", agent.address.to_string()), ("RELAY_NAME", "n1".into())];
    let mut proxy = Process::start(&case, "proxy", &case.deploy_command("run"), &env);
    if !wait_until(10_000, || readiness(listen) == 200) {
        case.end(NOT_RUN, "the proxy is not ready");
    }
    let end = Instant::now() + PLAY;
    let statuses = Arc::new(Mutex::new(HashMap::<u16, u64>::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, found, statuses) = (case.record.clone(), found.clone(), statuses.clone());
            thread::spawn(move || run_client(client, listen, end, &record, &found, &statuses))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    if proxy.ended().is_some() {
        case.end(BROKEN, "the proxy has ended");
    }
    let counts = format!(
        "{} requests came whole to backends, {} were turned away at their head; answers by status {:?}",
        wholes.load(SeqCst), declined.load(SeqCst), statuses.lock().unwrap()
    );
    case.record.line(&counts);
    if wholes.load(SeqCst) < 100 {
        case.end(NOT_RUN, &format!("too few requests to judge: {counts}"));
    }
    let found = found.lock().unwrap();
    match found.first() {
        Some(first) => case.end(BROKEN, &format!("{} faults, the first: {first}; {counts}", found.len())),
        None => case.end(HELD, &counts),
    }
}

/// The piece of a body by its number: each line tells whose it is and its place.
fn piece(id: &str, number: usize) -> Vec<u8> {
    let mut piece = format!("{id} {number:06}\n").repeat(PIECE_BYTES / 24 + 1).into_bytes();
    piece.truncate(PIECE_BYTES);
    piece
}

fn body(id: &str) -> Vec<u8> {
    (0..PIECES).flat_map(|number| piece(id, number)).collect()
}

/// A backend that, with the disruption, turns every second request away once it has read its head. It reads the rest of
/// such a request and drops it, as a sound server does, so that its answer is not lost in a reset.
fn start_backend(case: &Case, number: usize, found: Found, wholes: Arc<AtomicU64>, declined: Arc<AtomicU64>) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| die(&format!("backend: {e}")));
    let address = listener.local_addr().unwrap();
    let (record, trouble, seen) = (case.record.clone(), case.trouble, Arc::new(AtomicU64::new(0)));
    serve(listener, move |mut wire| {
        loop {
            let Ok(Some(mut request)) = wire.read_head() else { return };
            let Some(id) = request.header("req-id").map(str::to_string) else {
                let _ = wire.respond("404 Not Found", "");
                continue;
            };
            if trouble && seen.fetch_add(1, SeqCst) % 3 == 0 {
                declined.fetch_add(1, SeqCst);
                record.line(&format!("backend {number}: {id} turned away, queue full"));
                let answered = wire.respond_with("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
                let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(10)));
                if answered.and_then(|()| wire.read_body(&mut request, false)).is_err() {
                    return;
                }
                record.line(&format!("backend {number}: the rest of {id}, {} bytes, was read and dropped", request.body.len()));
                continue;
            }
            let _ = wire.stream.set_read_timeout(None);
            if wire.read_body(&mut request, false).is_err() {
                record.line(&format!("backend {number}: {id} broke off"));
                return;
            }
            wholes.fetch_add(1, SeqCst);
            let sent = body(&id);
            let is_as_sent = request.body == sent;
            record.line(&format!("backend {number}: {id} whole, {} bytes", request.body.len()));
            if !is_as_sent {
                let first = request.body.iter().zip(&sent).position(|(a, b)| a != b).unwrap_or(request.body.len().min(sent.len()));
                let text = format!(
                    "backend {number} got {id} whole with {} bytes, its client sent {}; they differ from byte {first} on",
                    request.body.len(), sent.len()
                );
                record.line(&text);
                found.lock().unwrap().push(text);
            }
            sleep_ms(20);
            if wire.respond("200 OK", &format!("saved {} bytes of {id}", request.body.len())).is_err() {
                return;
            }
        }
    });
    Host::serving(&format!("s-{number}"), address)
}

fn run_client(client: usize, proxy: SocketAddr, end: Instant, record: &Record, found: &Found, statuses: &Mutex<HashMap<u16, u64>>) {
    sleep_ms(client as u64 * 37 % 1000);
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("{client:04x}{number:012x}");
        match send(&id, proxy) {
            Ok(answer) => {
                *statuses.lock().unwrap().entry(answer.status()).or_default() += 1;
                record.line(&format!("request {id}: {} {}", answer.first, answer.text()));
                if answer.status() == 200 && answer.text() != format!("saved {} bytes of {id}", PIECES * PIECE_BYTES) {
                    found.lock().unwrap().push(format!("request {id} was answered 200 with `{}`", answer.text()));
                }
            }
            Err(e) => record.line(&format!("request {id}: {e}")),
        }
    }
}

/// Sends one request in pieces, on a connection of its own.
fn send(id: &str, proxy: SocketAddr) -> std::io::Result<Message> {
    let mut wire = Wire::connect(proxy)?;
    let head = format!("POST /page-save HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n");
    wire.write(head.as_bytes())?;
    let begun = Instant::now();
    for number in 0..PIECES {
        let mut chunk = format!("{PIECE_BYTES:x}\r\n").into_bytes();
        chunk.extend(piece(id, number));
        chunk.extend(b"\r\n");
        wire.write(&chunk)?;
        let next = begun + Duration::from_millis(PIECE_MS * (number as u64 + 1));
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    wire.write(b"0\r\n\r\n")?;
    wire.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    wire.read(true)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}
