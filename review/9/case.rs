//! Many long answers at a time: each is given by its backend in time and without a pause, and has to reach its client.

#[path = "../standins-2/rig.rs"]
mod rig;

use rig::*;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 8;
/// Clients with one request at a time each; a third of the descriptors would be 85.
const CLIENTS: usize = 40;
const PLAY: Duration = Duration::from_secs(30);
/// A long answer, and the pieces in which a backend gives it: 160 kB a second.
const LONG: usize = 400_000;
const SHORT: usize = 48_000;
const PIECE: usize = 16_000;
const PIECE_MS: u64 = 100;

/// What became of each answer at its backend.
type Given = Arc<Mutex<HashMap<String, &'static str>>>;

fn main() {
    let case = Case::from_env();
    let given = Given::default();
    let length = if case.trouble { LONG } else { SHORT };
    let hosts = (0..BACKENDS).map(|n| start_backend(&case, n, length, given.clone())).collect();
    let agent = Agent::start(case.record.clone(), hosts);
    let (listen, ops) = (free_address(), free_address());
    let settings = settings(&class("page-save", "fragile", "all", 0.0), CAPS);
    let config = proxy_config("n1", listen, agent.address, &settings, &format!(r#","ops":"{ops}""#));
    // The least that TERMS gives a proxy: 32 MB and 256 descriptors.
    let config = config.replace(r#""memory_mb":192,"sockets":1024"#, r#""memory_mb":32,"sockets":256"#);
    case.record.line(&format!("configuration: {config}"));
    let file = case.tmp.join("config.json");
    std::fs::write(&file, config).unwrap_or_else(|e| die(&format!("config: {e}")));
    let env = [("RELAY_CONFIG", file.display().to_string()), ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", agent.address.to_string()), ("RELAY_OPS", ops.to_string()),
        ("RELAY_NAME", "n1".to_string())];
    let mut proxy = Process::start(&case, "proxy", &case.deploy_command("run"), &env);
    if !wait_until(10_000, || readiness(listen) == 200) {
        case.end(NOT_RUN, "the proxy is not ready");
    }
    let end = Instant::now() + PLAY;
    let answers: Arc<Mutex<HashMap<String, (u16, usize)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, answers) = (case.record.clone(), answers.clone());
            thread::spawn(move || run_client(client, listen, end, &record, &answers))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    if proxy.ended().is_some() {
        case.end(BROKEN, "the proxy has ended");
    }
    // Backends find out that a connection was closed when they write the next piece.
    sleep_ms(1000);
    let (answers, given) = (answers.lock().unwrap(), given.lock().unwrap());
    let whole = answers.values().filter(|(status, bytes)| *status == 200 && *bytes == length).count();
    let cut = given.iter().filter(|(id, end)| **end == "cut off" && answers.get(*id) != Some(&(200, length)));
    let mut cut: Vec<String> =
        cut.map(|(id, _)| format!("{id}: its client got {:?}", answers.get(id).map(|(status, _)| status))).collect();
    cut.sort();
    let counts = format!("{} requests ran, {whole} of {} answers came whole", given.len(), answers.len());
    case.record.line(&counts);
    if given.len() < 100 {
        case.end(NOT_RUN, &format!("too few requests to judge: {counts}"));
    }
    match cut.first() {
        Some(first) => case.end(
            BROKEN,
            &format!("{} answers were cut off while their backends still gave them, the first: {first}; {counts}", cut.len()),
        ),
        None => case.end(HELD, &counts),
    }
}

fn start_backend(case: &Case, number: usize, length: usize, given: Given) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| die(&format!("backend: {e}")));
    let address = listener.local_addr().unwrap();
    let record = case.record.clone();
    serve(listener, move |mut wire| {
        while let Ok(Some(request)) = wire.read(false) {
            let Some(id) = request.header("req-id").map(str::to_string) else {
                let _ = wire.respond("404 Not Found", "");
                continue;
            };
            record.line(&format!("backend {number}: runs {id}"));
            given.lock().unwrap().insert(id.clone(), "being given");
            sleep_ms(20);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            let answer = vec![b'p'; length];
            let mut is_open = wire.write(head.as_bytes()).is_ok();
            let mut sent = 0;
            for piece in answer.chunks(PIECE) {
                is_open = is_open && wire.write(piece).is_ok();
                if !is_open {
                    break;
                }
                sent += piece.len();
                sleep_ms(PIECE_MS);
            }
            let end = if is_open { "given" } else { "cut off" };
            record.line(&format!("backend {number}: {id} {end} after {sent} of {length} bytes"));
            given.lock().unwrap().insert(id, end);
            if !is_open {
                return;
            }
        }
    });
    Host::serving(&format!("s-{number}"), address)
}

/// A client that reads its answers as they come.
fn run_client(client: usize, proxy: SocketAddr, end: Instant, record: &Record, answers: &Mutex<HashMap<String, (u16, usize)>>) {
    sleep_ms(client as u64 * 25);
    for number in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("{client:04x}{number:012x}");
        let head = format!("POST /page-save HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
        let answer = Wire::connect(proxy).and_then(|mut wire| wire.call(&head, b"", 15_000));
        match answer {
            Ok(answer) => {
                record.line(&format!("request {id}: {} with {} bytes", answer.first, answer.body.len()));
                answers.lock().unwrap().insert(id, (answer.status(), answer.body.len()));
            }
            Err(e) => record.line(&format!("request {id}: {e}")),
        }
        sleep_ms(200);
    }
}
