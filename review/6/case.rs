//! A backend sends a second answer some milliseconds after its first: no client may get it as its own answer.

#[path = "../standins-2/rig.rs"]
mod rig;

use rig::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 4;
const CLIENTS: usize = 6;
/// One in so many answers of each backend is followed by a second one.
const SPOILT_EVERY: u64 = 20;
/// How late the second answer is.
const SECOND_AFTER_MS: u64 = 4;
const PLAY: Duration = Duration::from_secs(20);

fn main() {
    let case = Case::from_env();
    let served = Arc::new(AtomicU64::new(0));
    let hosts = (0..BACKENDS).map(|n| start_backend(&case, n, served.clone())).collect();
    let agent = Agent::start(case.record.clone(), hosts);
    let listen = free_address();
    let config = proxy_config("n1", listen, agent.address, &settings(&class("read", "retryable", "all", 0.0), CAPS), "");
    let file = case.tmp.join("config.json");
    std::fs::write(&file, config).unwrap_or_else(|e| die(&format!("config: {e}")));
    let env = [("RELAY_CONFIG", file.display().to_string()), ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", agent.address.to_string()), ("RELAY_NAME", "n1".into())];
    let mut proxy = Process::start(&case, "proxy", &case.deploy_command("run"), &env);
    if !wait_until(10_000, || readiness(listen) == 200) {
        case.end(NOT_RUN, "the proxy is not ready");
    }
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let answers = Arc::new(Mutex::new([0u64; 2]));
    let end = Instant::now() + PLAY;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, foreign, answers) = (case.record.clone(), foreign.clone(), answers.clone());
            thread::spawn(move || run_client(client, listen, end, &record, &foreign, &answers))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    if proxy.ended().is_some() {
        case.end(BROKEN, "the proxy has ended");
    }
    let [ok, other] = *answers.lock().unwrap();
    let foreign = foreign.lock().unwrap();
    case.record.line(&format!("{ok} answers of 200, {other} others, {} of the 200 with another request's body", foreign.len()));
    if ok < 200 {
        case.end(NOT_RUN, "too few answers to judge");
    }
    match foreign.first() {
        Some(first) => case.end(BROKEN, &format!("{} of {ok} answers were another request's, the first: {first}", foreign.len())),
        None => case.end(HELD, &format!("each of {ok} answers was its own request's")),
    }
}

/// A backend that answers each request with its id.
fn start_backend(case: &Case, number: usize, served: Arc<AtomicU64>) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| die(&format!("backend: {e}")));
    let address = listener.local_addr().unwrap();
    let (record, trouble) = (case.record.clone(), case.trouble);
    serve(listener, move |mut wire| {
        while let Ok(Some(request)) = wire.read(false) {
            let Some(id) = request.header("req-id").map(str::to_string) else {
                let _ = wire.respond("404 Not Found", "");
                continue;
            };
            sleep_ms(30);
            let body = format!("for {id}");
            if wire.respond("200 OK", &body).is_err() {
                return;
            }
            let is_spoilt = served.fetch_add(1, SeqCst) % SPOILT_EVERY == SPOILT_EVERY - 1;
            if trouble && is_spoilt {
                sleep_ms(SECOND_AFTER_MS);
                record.line(&format!("backend {number}: a second answer after {SECOND_AFTER_MS} ms, for {id}"));
                if wire.respond("200 OK", &body).is_err() {
                    return;
                }
            }
        }
    });
    Host::serving(&format!("s-{number}"), address)
}

/// A client with one kept connection and one request at a time, 10 ms after the last answer.
fn run_client(
    client: usize,
    proxy: std::net::SocketAddr,
    end: Instant,
    record: &Record,
    foreign: &Mutex<Vec<String>>,
    answers: &Mutex<[u64; 2]>,
) {
    let mut wire = None;
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("{client:04x}{number:012x}");
        let head = format!("GET /read HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 2000\r\n\r\n");
        let mut connection = match wire.take().map_or_else(|| Wire::connect(proxy), Ok) {
            Ok(connection) => connection,
            Err(e) => {
                record.line(&format!("client {client}: no connection: {e}"));
                sleep_ms(50);
                continue;
            }
        };
        match connection.call(&head, b"", 3000) {
            Ok(answer) if answer.status() == 200 => {
                answers.lock().unwrap()[0] += 1;
                if answer.text() != format!("for {id}") {
                    let text = format!("request {id} was answered 200 with `{}`", answer.text());
                    record.line(&text);
                    foreign.lock().unwrap().push(text);
                }
                if answer.header("connection") != Some("close") {
                    wire = Some(connection);
                }
            }
            Ok(answer) => {
                answers.lock().unwrap()[1] += 1;
                record.line(&format!("request {id}: {}", answer.first));
            }
            Err(e) => record.line(&format!("request {id}: {e}")),
        }
        sleep_ms(10);
    }
}
