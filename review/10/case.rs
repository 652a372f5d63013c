//! Discovery is slow, then down, then back with a backend that drains. What it has at its return counts as told at once,
//! so that the backend gets nothing new later than the grace after that.

#[path = "../standins-2/rig.rs"]
mod rig;

use rig::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 8;
const CLIENTS: usize = 8;
/// How often discovery is slow, then down, then back.
const ROUNDS: usize = 4;
/// How late a slow discovery answers.
const LATE: Duration = Duration::from_millis(1200);
const SLOW_MS: u64 = 6000;
const DOWN_MS: u64 = 5000;
const AFTER_MS: u64 = 3000;
/// `guarantees.stopSendingWithin` of the settings, and what sockets are given.
const GRACE_MS: f64 = 300.0 + 50.0;

#[derive(Clone, Copy, PartialEq, Debug)]
enum Mood {
    Prompt,
    Slow,
    /// Takes calls and answers none of them, also not later.
    Down,
}

struct Discovery {
    mood: Mood,
    seq: u64,
    hosts: Vec<(u64, Host)>,
}

type Shared = Arc<(Mutex<Discovery>, Condvar)>;

fn main() {
    let case = Case::from_env();
    // When each backend counts as draining, and the latest request that began to arrive there after the grace.
    let drains: Arc<Mutex<Vec<Option<f64>>>> = Arc::new(Mutex::new(vec![None; BACKENDS]));
    let late: Arc<Mutex<Vec<String>>> = Arc::default();
    let hosts: Vec<Host> = (0..BACKENDS).map(|n| start_backend(&case, n, drains.clone(), late.clone())).collect();
    let listed = hosts.iter().map(|host| (41, host.clone())).collect();
    let shared: Shared = Arc::new((Mutex::new(Discovery { mood: Mood::Prompt, seq: 41, hosts: listed }), Condvar::new()));
    let discovery = start_discovery(&case, shared.clone());
    let listen = free_address();
    let settings = settings(&class("read", "retryable", "all", 0.0), CAPS);
    let config = proxy_config("n1", listen, discovery, &settings, "");
    let file = case.tmp.join("config.json");
    std::fs::write(&file, config).unwrap_or_else(|e| die(&format!("config: {e}")));
    let env = [("RELAY_CONFIG", file.display().to_string()), ("RELAY_LISTEN", listen.to_string()),
        ("RELAY_DISCOVERY", discovery.to_string()), ("RELAY_NAME", "n1".into())];
    let mut proxy = Process::start(&case, "proxy", &case.deploy_command("run"), &env);
    if !wait_until(10_000, || readiness(listen) == 200) {
        case.end(NOT_RUN, "the proxy is not ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, stop) = (case.record.clone(), stop.clone());
            thread::spawn(move || run_client(client, listen, &stop, &record))
        })
        .collect();
    sleep_ms(2000);
    let set_mood = |mood| {
        case.record.line(&format!("discovery: {mood:?}"));
        shared.0.lock().unwrap().mood = mood;
        shared.1.notify_all();
    };
    for host in hosts.iter().take(ROUNDS) {
        if case.trouble {
            set_mood(Mood::Slow);
        }
        sleep_ms(SLOW_MS);
        if case.trouble {
            set_mood(Mood::Down);
        }
        sleep_ms(DOWN_MS);
        // Discovery is back and has the drain, which counts as told from now on.
        let number = hosts.iter().position(|other| other.name == host.name).unwrap();
        {
            let (lock, changed) = &*shared;
            let mut discovery = lock.lock().unwrap();
            discovery.mood = Mood::Prompt;
            discovery.seq += 1;
            let seq = discovery.seq;
            discovery.hosts.retain(|(_, other)| other.name != host.name);
            discovery.hosts.push((seq, Host { health: "DRAINING", ..host.clone() }));
            drains.lock().unwrap()[number] = Some(case.record.ms());
            case.record.line(&format!("discovery: Prompt, version {seq}: {} drains", host.name));
            changed.notify_all();
        }
        sleep_ms(AFTER_MS);
    }
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    if proxy.ended().is_some() {
        case.end(BROKEN, "the proxy has ended");
    }
    let late = late.lock().unwrap();
    match late.last() {
        Some(last) => case.end(BROKEN, &format!("{} requests came to draining backends after the grace, the last: {last}", late.len())),
        None => case.end(HELD, &format!("nothing came to {ROUNDS} draining backends later than {GRACE_MS} ms after they were told")),
    }
}

fn start_backend(case: &Case, number: usize, drains: Arc<Mutex<Vec<Option<f64>>>>, late: Arc<Mutex<Vec<String>>>) -> Host {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| die(&format!("backend: {e}")));
    let address = listener.local_addr().unwrap();
    let record = case.record.clone();
    serve(listener, move |mut wire| {
        loop {
            // The time of a send counts from its first byte.
            if !matches!(wire.stream.peek(&mut [0]), Ok(1)) {
                return;
            }
            let began = record.ms();
            let Ok(Some(request)) = wire.read(false) else { return };
            let Some(id) = request.header("req-id") else {
                let _ = wire.respond("404 Not Found", "");
                continue;
            };
            let since = drains.lock().unwrap()[number].map(|told| began - told);
            if let Some(since) = since {
                let text = format!("backend {number}: {id} began {since:.0} ms after its drain was told");
                record.line(&text);
                if since > GRACE_MS {
                    late.lock().unwrap().push(text);
                }
            }
            sleep_ms(20);
            if wire.respond("200 OK", "done").is_err() {
                return;
            }
        }
    });
    Host::serving(&format!("s-{number}"), address)
}

fn start_discovery(case: &Case, shared: Shared) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| die(&format!("discovery: {e}")));
    let address = listener.local_addr().unwrap();
    let record = case.record.clone();
    serve(listener, move |mut wire| {
        while let Ok(Some(request)) = wire.read(false) {
            let query = request.target().split_once('?').map_or("", |(_, query)| query).to_string();
            let number = |key: &str| {
                query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let after = number("after");
            let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
            let (lock, changed) = &*shared;
            let mut discovery = lock.lock().unwrap();
            let mut forgotten = discovery.mood == Mood::Down;
            while !forgotten && after.is_some_and(|after| discovery.seq <= after) && Instant::now() < end {
                let left = end.saturating_duration_since(Instant::now());
                discovery = changed.wait_timeout(discovery, left).unwrap().0;
                forgotten = discovery.mood == Mood::Down;
            }
            if !forgotten && discovery.mood == Mood::Slow {
                drop(discovery);
                thread::sleep(LATE);
                discovery = lock.lock().unwrap();
                forgotten = discovery.mood == Mood::Down;
            }
            if forgotten {
                // A watch that has fallen silent is broken: its connection stays open, and no answer comes.
                record.line(&format!("discovery: a call ({query}) stays without an answer"));
                drop(discovery);
                let _ = wire.read(false);
                return;
            }
            let whole = after.is_none();
            let told = |(seq, host): &&(u64, Host)| after.is_none_or(|after| *seq > after) && host.health != "DELETED";
            let list: Vec<String> = discovery.hosts.iter().filter(told).map(|(_, host)| host.json()).collect();
            let body = format!(r#"{{"seq":{},"whole":{whole},"hosts":[{}]}}"#, discovery.seq, list.join(","));
            drop(discovery);
            record.line(&format!("discovery: answers ({query}) with {} entries", list.len()));
            if wire.respond("200 OK", &body).is_err() {
                return;
            }
        }
    });
    address
}

/// A client that sends some ten requests a second on a kept connection.
fn run_client(client: usize, proxy: SocketAddr, stop: &AtomicBool, record: &Record) {
    let mut wire: Option<Wire> = None;
    for number in 0.. {
        if stop.load(SeqCst) {
            return;
        }
        let id = format!("{client:04x}{number:012x}");
        let head = format!("GET /read HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 2000\r\n\r\n");
        let answer = wire.take().map_or_else(|| Wire::connect(proxy), Ok).and_then(|mut connection| {
            let answer = connection.call(&head, b"", 3000)?;
            Ok((answer, connection))
        });
        match answer {
            Ok((answer, connection)) => {
                if answer.status() != 200 {
                    record.line(&format!("request {id}: {}", answer.first));
                }
                if answer.header("connection") != Some("close") {
                    wire = Some(connection);
                }
            }
            Err(e) => record.line(&format!("request {id}: {e}")),
        }
        sleep_ms(40);
    }
}
