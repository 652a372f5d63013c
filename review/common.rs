//! Stand-ins for clients, backends and discovery, and the start of the project's proxy. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// The whole run ends after this long, as one that could not run.
const LONGEST_RUN: Duration = Duration::from_secs(110);

static STAGE: OnceLock<Arc<Stage>> = OnceLock::new();

/// Writes a line to `record.txt`, from any thread of a case.
pub fn record(line: &str) {
    if let Some(stage) = STAGE.get() {
        stage.note(line);
    }
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Runs a case: `case` returns true if the rule held. A panic, or a run that takes too long, is a case that did not run.
pub fn main_of(case: fn(&Stage) -> Result<bool, String>) -> ! {
    let record = PathBuf::from(std::env::args().nth(1).expect("the record's path is the first argument"));
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let stage = Arc::new(Stage::new(record, trouble));
    let _ = STAGE.set(stage.clone());
    stage.note(&format!("trouble: {}", if trouble { "on" } else { "off (TROUBLE=0)" }));
    let watched = stage.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        watched.note("result: the case took too long and is given up");
        watched.finish(NOT_RUN);
    });
    let run = stage.clone();
    let result = thread::spawn(move || case(&run)).join();
    let (code, text) = match result {
        Ok(Ok(true)) => (HELD, "the rule held".to_string()),
        Ok(Ok(false)) => (BROKEN, "THE RULE WAS BROKEN".to_string()),
        Ok(Err(why)) => (NOT_RUN, format!("the case could not run: {why}")),
        Err(_) => (NOT_RUN, "the case could not run: a stand-in stopped with a panic".to_string()),
    };
    stage.note(&format!("result: {text}"));
    println!("{text}");
    stage.finish(code)
}

/// What a case needs: its record, its folders, and the processes to end.
pub struct Stage {
    pub trouble: bool,
    started: Instant,
    record: Mutex<File>,
    temporary: PathBuf,
    children: Mutex<Vec<Child>>,
    names: AtomicU64,
}

impl Stage {
    fn new(record: PathBuf, trouble: bool) -> Stage {
        let name = format!("review-case-{}-{}", std::process::id(), unix_ms());
        let temporary = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&temporary).expect("the temporary folder can be made");
        Stage {
            trouble,
            started: Instant::now(),
            record: Mutex::new(File::create(record).expect("the record can be written")),
            temporary,
            children: Mutex::default(),
            names: AtomicU64::new(0),
        }
    }

    /// Writes a line with the time since the start to `record.txt`.
    pub fn note(&self, line: &str) {
        let line = format!("{:9.3} {line}\n", self.started.elapsed().as_secs_f64());
        let _ = self.record.lock().unwrap().write_all(line.as_bytes());
    }

    /// A number that no earlier call has returned.
    pub fn number(&self) -> u64 {
        self.names.fetch_add(1, SeqCst) + 1
    }

    pub fn folder(&self, name: &str) -> PathBuf {
        let folder = self.temporary.join(name);
        std::fs::create_dir_all(&folder).expect("a folder can be made");
        folder
    }

    fn finish(&self, code: i32) -> ! {
        for child in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.temporary);
        std::process::exit(code)
    }

    /// Starts the proxy by `run` of the deploy file, as the platform does, and waits until it is ready.
    pub fn start_proxy(&self, config: &ProxyConfig) -> Result<Proxy, String> {
        let folder = self.folder(&format!("proxy-{}", self.number()));
        let file = folder.join("config.json");
        let listen = free_address();
        std::fs::write(&file, config.json(listen)).map_err(|e| e.to_string())?;
        let log = File::create(folder.join("log")).map_err(|e| e.to_string())?;
        let scratch = self.folder(&format!("tmp-{}", self.number()));
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command("run")?])
            .env("RELAY_NAME", &config.name)
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_DISCOVERY", config.discovery.to_string())
            .env("RELAY_CONFIG", &file)
            .env("TMPDIR", scratch)
            .env_remove("RELAY_OPS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("the proxy does not start: {e}"))?;
        let pid = child.id();
        self.children.lock().unwrap().push(child);
        let began = Instant::now();
        loop {
            if let Ok(mut client) = Client::connect(listen) {
                let asked = client.call("GET /health/ready HTTP/1.1\r\nHost: p\r\n\r\n", b"", ms(1000));
                if asked.status == Some(200) {
                    break;
                }
            }
            if began.elapsed() > Duration::from_secs(20) {
                let log = std::fs::read_to_string(folder.join("log")).unwrap_or_default();
                return Err(format!("the proxy is not ready after 20 s: {log}"));
            }
            thread::sleep(ms(50));
        }
        self.note(&format!("proxy {} started, ready after {} ms", config.name, began.elapsed().as_millis()));
        Ok(Proxy { address: listen, pid, log: folder.join("log") })
    }

    /// Copies what a proxy has logged into the record.
    pub fn note_log(&self, proxy: &Proxy) {
        for line in std::fs::read_to_string(&proxy.log).unwrap_or_default().lines().take(40) {
            self.note(&format!("  proxy's log: {line}"));
        }
    }

    /// Whether every process that was started still runs.
    pub fn all_run(&self) -> bool {
        self.children.lock().unwrap().iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }
}

pub struct Proxy {
    pub address: SocketAddr,
    pub pid: u32,
    log: PathBuf,
}

/// A command of the deploy file. The current folder is the project's root.
fn deploy_command(key: &str) -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix)).ok_or("the deploy file lacks a key")?;
    Ok(line.split('"').next().unwrap_or_default().to_string())
}

pub struct ProxyConfig {
    pub name: String,
    pub discovery: SocketAddr,
    pub settings: String,
    pub known: String,
}

impl ProxyConfig {
    pub fn json(&self, listen: SocketAddr) -> String {
        let seed = unix_ms().wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(std::process::id());
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{},\"settings\":{}}}",
            self.name, self.discovery, self.known, self.settings
        )
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// A small random number generator (xorshift), seeded from the clock.
pub struct Random(u64);

impl Random {
    pub fn new(salt: u64) -> Random {
        Random((unix_ms() << 20 ^ salt.wrapping_mul(0x9E37_79B9_7F4A_7C15)) | 1)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n.max(1)
    }
}

// ---- HTTP/1.1 messages ----

/// Reads bytes of one connection, keeping what follows a message for the next one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// The head of a message: its first line and its header lines.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
    fn length(&self) -> usize {
        self.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0)
    }
    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|text| text.contains("chunked"))
    }
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    fn more(&mut self) -> io::Result<()> {
        let mut chunk = [0; 65536];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).to_string();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_string();
                let header = |line: &str| {
                    let (key, value) = line.split_once(':')?;
                    Some((key.trim().to_ascii_lowercase(), value.trim().to_string()))
                };
                return Ok(Head { first, headers: lines.filter_map(header).collect() });
            }
            self.more()?;
        }
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.more()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).to_string();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.more()?;
        }
    }

    /// Reads the body that a head announces. What has arrived of it is in `into`, also after an error.
    pub fn body(&mut self, head: &Head, into: &mut Vec<u8>) -> io::Result<()> {
        if head.is_chunked() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                let chunk = self.take(size)?;
                into.extend_from_slice(&chunk);
                self.take(2)?;
            }
        }
        let mut left = head.length();
        loop {
            let n = left.min(self.buffer.len());
            into.extend(self.buffer.drain(..n));
            left -= n;
            if left == 0 {
                return Ok(());
            }
            self.more()?;
        }
    }
}

// ---- clients ----

/// What a client saw of one call.
#[derive(Debug)]
pub struct Seen {
    pub status: Option<u16>,
    pub body: Vec<u8>,
    /// The length that the answer announced.
    pub announced: Option<usize>,
    /// Whether the answer came whole.
    pub whole: bool,
    /// Why no (whole) answer came.
    pub error: Option<String>,
    pub first_byte: Option<Duration>,
    pub took: Duration,
    /// Whether the connection can be used again.
    pub kept: bool,
}

pub struct Client(pub Reader);

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        Ok(Client(Reader::new(TcpStream::connect_timeout(&address, ms(2000))?)))
    }

    /// Sends a request and reads its answer; gives up when `wait` has passed without a byte.
    pub fn call(&mut self, head: &str, body: &[u8], wait: Duration) -> Seen {
        let began = Instant::now();
        let mut seen = Seen {
            status: None,
            body: Vec::new(),
            announced: None,
            whole: false,
            error: None,
            first_byte: None,
            took: Duration::ZERO,
            kept: false,
        };
        let _ = self.0.stream.set_read_timeout(Some(wait));
        let mut message = head.as_bytes().to_vec();
        message.extend_from_slice(body);
        let result = (|| {
            self.0.stream.write_all(&message)?;
            let head = self.0.head()?;
            seen.first_byte = Some(began.elapsed());
            seen.status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok());
            seen.announced = head.get("content-length").and_then(|n| n.parse().ok());
            seen.kept = head.get("connection").is_none_or(|text| !text.eq_ignore_ascii_case("close"));
            self.0.body(&head, &mut seen.body)
        })();
        seen.whole = result.is_ok();
        seen.error = result.err().map(|e| format!("{:?}", e.kind()));
        seen.kept &= seen.whole;
        seen.took = began.elapsed();
        seen
    }
}

/// The head of a call of a class that may not run twice (POST without a key).
pub fn post(class: &str, id: &str, tenant: &str, deadline_ms: u64, length: usize) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Owner: {tenant}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    )
}

// ---- backends ----

/// A request that a backend has read whole.
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
    /// When its first byte had arrived.
    pub began: Instant,
}

impl Request {
    pub fn id(&self) -> String {
        self.head.get("req-id").unwrap_or("").to_string()
    }
}

/// Starts a backend: a thread a connection. `serve` answers one request, and returns whether the connection stays open.
pub fn start_backend<F>(serve: F) -> SocketAddr
where
    F: Fn(&mut TcpStream, Request) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = Reader::new(stream);
                loop {
                    if reader.buffer.is_empty() && reader.more().is_err() {
                        return;
                    }
                    let began = Instant::now();
                    let Ok(head) = reader.head() else { return };
                    let mut body = Vec::new();
                    if reader.body(&head, &mut body).is_err() {
                        return;
                    }
                    if !serve(&mut writer, Request { head, body, began }) {
                        let _ = writer.shutdown(Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn answer(status: &str, body: &[u8]) -> Vec<u8> {
    let mut message = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    message
}

// ---- discovery ----

#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub health: &'static str,
}

impl Host {
    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"front-std\",\"block\":{},\
             \"health\":\"{}\",\"share\":1.0,\"born_ms\":0}}",
            self.name, self.address, self.zone, self.cell, self.health
        )
    }
}

#[derive(Default)]
struct Listing {
    seq: u64,
    hosts: BTreeMap<String, (u64, Host)>,
}

impl Listing {
    fn page(&self, after: Option<u64>) -> String {
        let whole = after.is_none_or(|after| after > self.seq || after == 0);
        let changed = |(version, host): &&(u64, Host)| match whole {
            true => host.health != "DELETED",
            false => Some(*version) > after,
        };
        let hosts: Vec<String> = self.hosts.values().filter(changed).map(|(_, host)| host.json()).collect();
        format!("{{\"seq\":{},\"whole\":{whole},\"hosts\":[{}]}}", self.seq, hosts.join(","))
    }
}

/// The platform's agent: lists and watches as the protocol's page on discovery states them.
pub struct Discovery {
    pub address: SocketAddr,
    listing: Mutex<Listing>,
    changed: Condvar,
    /// By how much each answer is late, in ms.
    pub late_ms: AtomicU64,
    pub calls: AtomicU64,
    pub answers: AtomicU64,
    pub unread: AtomicU64,
    pub silent: AtomicBool,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("a bound address"),
            listing: Mutex::default(),
            changed: Condvar::new(),
            late_ms: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            unread: AtomicU64::new(0),
            silent: AtomicBool::new(false),
        });
        discovery.listing.lock().unwrap().seq = 40;
        discovery.publish(hosts);
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        discovery
    }

    pub fn publish(&self, hosts: Vec<Host>) -> u64 {
        let mut listing = self.listing.lock().unwrap();
        listing.seq += 1;
        let seq = listing.seq;
        for host in hosts {
            listing.hosts.insert(host.name.clone(), (seq, host));
        }
        self.changed.notify_all();
        seq
    }

    pub fn known(&self) -> String {
        self.listing.lock().unwrap().page(None)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.head() {
            self.calls.fetch_add(1, SeqCst);
            let target = head.first.split(' ').nth(1).unwrap_or("");
            let query = target.split_once('?').map_or("", |(_, query)| query);
            let value = |name: &str| {
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (after, wait) = (value("after"), value("wait_ms").unwrap_or(0).min(60_000));
            let mut listing = self.listing.lock().unwrap();
            if let Some(after) = after {
                let until = Instant::now() + ms(wait);
                while listing.seq <= after {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    listing = self.changed.wait_timeout(listing, left).unwrap().0;
                }
            }
            // What a slow service answers is what it has when it answers.
            let late = self.late_ms.load(SeqCst);
            if late > 0 {
                drop(listing);
                thread::sleep(ms(late));
                listing = self.listing.lock().unwrap();
            }
            let page = listing.page(after);
            drop(listing);
            if writer.write_all(&answer("200 OK", page.as_bytes())).is_err() {
                return;
            }
            self.answers.fetch_add(1, SeqCst);
        }
    }
}

/// The settings of a small deployment: those of the site `addis-main`, for one tier's proxies.
pub fn addis_settings(slot: u32, peers: u32) -> String {
    let mut text = ADDIS.replace("\"slotNo\": 0", &format!("\"slotNo\": {slot}"));
    text = text.replace("\"peersTotal\": 3", &format!("\"peersTotal\": {peers}"));
    text
}

const ADDIS: &str = r#"{"caps": {"cancelling": true, "connIdle": 30000.0, "connectTimeout": 250.0,
"cpuUsPerRequest": 0.0, "cpuUsPerS": 15000, "maxRetryAfter": 2000.0, "mayDuplicate": true, "openCap": 20000,
"peers": false, "probes": true, "retryAfter": true, "streamsPerConn": 1, "tryLimit": 4},
"classes": [{"aim": 1500.0, "giveUp": 4000.0, "group": "all", "lateWorth": 0.25, "name": "page-save", "points": 3.0,
"semantics": "fragile", "stream": false, "window": 5000.0}, {"aim": 2000.0, "giveUp": 5000.0, "group": "cell",
"lateWorth": 0.25, "name": "copy-order", "points": 10.0, "semantics": "dedup", "stream": false, "window": 7500.0}],
"clients": {"marksRetry": true}, "discovery": "automatic", "family": "chain", "familyInfo": {"passesDeadline": true},
"goal": {"whole": 0.35, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.35},
"guarantees": {"askWithin": 10000.0, "cold": 8400.0, "coldFrom": 0.31, "fall": 1000.0, "fallMultiple": 3.0,
"graceToAnswer": 20.0, "stopSendingWithin": 300.0}, "kinds": ["front-std"],
"loadInfo": {"fields": ["backlog", "throughput"], "how": "pull"}, "localities": ["bole", "kazanchis", "piassa"],
"locality": 0, "overShareWorth": 0.2, "peersTotal": 3, "prices": {"connection": 0.0, "crossZone": 0.015,
"discovery": 0.0, "handshake": 0.0, "lateFail": 0.025, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.008,
"waste": 0.038}, "slotNo": 0, "tenants": [{"name": "entoto-high", "quotaPerS": 31.0, "share": 0.26},
{"name": "bahir-dar-prep", "quotaPerS": 24.0, "share": 0.2}, {"name": "hawassa-sec", "quotaPerS": 21.0, "share": 0.18},
{"name": "mekelle-prep", "quotaPerS": 15.0, "share": 0.13}, {"name": "adama-high", "quotaPerS": 11.0, "share": 0.09},
{"name": "gondar-sec", "quotaPerS": 8.0, "share": 0.07}, {"name": "dessie-prep", "quotaPerS": 8.0, "share": 0.07}],
"tick": 5.0, "tier": 0, "tiers": ["front", "books"], "weights": "silent", "worthBy": "request"}"#;

pub const TENANTS: [&str; 7] =
    ["entoto-high", "bahir-dar-prep", "hawassa-sec", "mekelle-prep", "adama-high", "gondar-sec", "dessie-prep"];
pub const ZONES: [&str; 3] = ["bole", "kazanchis", "piassa"];
