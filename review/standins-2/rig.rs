//! Parts that the cases of the second review share: a record, the project's programs as processes, a small HTTP/1.1
//! client and server, and discovery's agent. Standard library only; loopback addresses only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What a case was given by its `run.sh`.
pub struct Case {
    /// The project's root, from which the commands of the deploy file run.
    pub root: PathBuf,
    /// A temporary folder.
    pub tmp: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub record: Record,
}

impl Case {
    pub fn from_env() -> Case {
        let var = |name: &str| std::env::var(name).unwrap_or_else(|_| die(&format!("{name} is not set")));
        let (root, tmp) = (var("ROOT"), var("TMP_DIR"));
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let record = Record::create(Path::new(&var("RECORD")), [(tmp.clone(), "TMP"), (root.clone(), "ROOT")]);
        record.line(&format!("trouble: {}", if trouble { "played" } else { "left out (TROUBLE=0)" }));
        Case { root: root.into(), tmp: tmp.into(), trouble, record }
    }

    /// Ends the case with its verdict.
    pub fn end(&self, code: i32, why: &str) -> ! {
        let verdict = match code {
            HELD => "HELD",
            BROKEN => "BROKEN",
            _ => "COULD NOT RUN",
        };
        self.record.line(&format!("{verdict}: {why}"));
        kill_all();
        println!("{verdict}: {why}");
        std::process::exit(code)
    }

    /// The command of a key of the deploy file.
    pub fn deploy_command(&self, key: &str) -> String {
        let text = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix(&format!("{key} = \"")));
        line.and_then(|l| l.strip_suffix('"')).map(str::to_string).unwrap_or_else(|| die("no deploy file"))
    }
}

/// The processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the case started.
fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -CONT {id}; kill -KILL {id}")]).status();
    }
}

pub fn die(why: &str) -> ! {
    kill_all();
    println!("COULD NOT RUN: {why}");
    std::process::exit(NOT_RUN)
}

/// The file that says what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<RecordFile>);

struct RecordFile {
    began: Instant,
    file: Mutex<File>,
    /// Paths of this machine, and the names that the record has for them.
    names: [(String, &'static str); 2],
}

impl Record {
    fn create(path: &Path, names: [(String, &'static str); 2]) -> Record {
        let file = File::create(path).unwrap_or_else(|e| die(&format!("record.txt: {e}")));
        Record(Arc::new(RecordFile { began: Instant::now(), file: Mutex::new(file), names }))
    }

    pub fn line(&self, text: &str) {
        let ms = self.ms();
        let text = self.0.names.iter().fold(text.to_string(), |text, (path, name)| text.replace(path, name));
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{ms:10.1} {text}");
    }

    pub fn ms(&self) -> f64 {
        self.0.began.elapsed().as_secs_f64() * 1000.0
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A free port of the loopback address. It may be taken again before it is used; a case then ends with 2.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| die(&format!("bind: {e}")));
    listener.local_addr().unwrap()
}

/// A program of the project as a process, which is killed when it is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Process {
    /// Starts a shell command from the project's root.
    pub fn start(case: &Case, name: &str, command: &str, env: &[(&str, String)]) -> Process {
        case.record.line(&format!("{name}: started by `{command}`"));
        let mut child = Command::new("/bin/sh")
            .args(["-c", command])
            .current_dir(&case.root)
            .env_remove("RELAY_OPS")
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env_remove("RELAY_CONFIG")
            .env("TMPDIR", &case.tmp)
            .env("NO_COLOR", "1")
            .envs(env.iter().map(|(k, v)| (*k, v.as_str())))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| die(&format!("{name}: {e}")));
        RUNNING.lock().unwrap().push(child.id());
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, to, record, who) =
            (child.stderr.take().unwrap(), log.clone(), case.record.clone(), name.to_string());
        thread::spawn(move || {
            for line in BufReader::new(lines).lines().map_while(Result::ok) {
                record.line(&format!("{who} logs: {line}"));
                to.lock().unwrap().push(line);
            }
        });
        Process { name: name.to_string(), child, log, record: case.record.clone() }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// Waits for a text in the log.
    pub fn wait_for_log(&self, text: &str, limit_ms: u64) -> bool {
        wait_until(limit_ms, || self.has_logged(text))
    }

    /// Sends a signal, such as `TERM`, unless the process has been waited for: its id may be another's by then.
    pub fn signal(&self, signal: &str) {
        if !RUNNING.lock().unwrap().contains(&self.id()) {
            return;
        }
        self.record.line(&format!("{}: SIG{signal}", self.name));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.id())]).status();
    }

    /// The exit code if the process has ended; -1 for a signal.
    pub fn ended(&mut self) -> Option<i32> {
        let status = self.child.try_wait().ok().flatten()?;
        let id = self.id();
        RUNNING.lock().unwrap().retain(|other| *other != id);
        Some(status.code().unwrap_or(-1))
    }

    pub fn kill(&mut self) {
        if self.ended().is_none() {
            self.record.line(&format!("{}: SIGKILL", self.name));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = self.ended();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = self.ended();
    }
}

pub fn wait_until(limit_ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep_ms(5);
    }
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// One connection, as a client or a server reads and writes it.
pub struct Wire {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> io::Result<Wire> {
        stream.set_nodelay(true)?;
        Ok(Wire { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn connect(to: SocketAddr) -> io::Result<Wire> {
        Wire::new(TcpStream::connect_timeout(&to, Duration::from_secs(2))?)
    }

    /// Reads a message. `None` if the peer has closed before its first byte.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, is_response)?;
        Ok(Some(message))
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let Some(first) = self.read_line()? else { return Ok(None) };
        message.first = first;
        loop {
            let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
        }
    }

    /// Reads the body of a message whose head was read.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        let length = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
        if chunked {
            loop {
                let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::ErrorKind::InvalidData)?;
                let mut piece = vec![0; size];
                self.reader.read_exact(&mut piece)?;
                message.body.extend_from_slice(&piece);
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        if let Some(length) = length {
            message.body = vec![0; length];
            self.reader.read_exact(&mut message.body)?;
        } else if is_response {
            self.reader.read_to_end(&mut message.body)?;
        }
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        let mut line = Vec::new();
        if self.reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        if line.pop() != Some(b'\n') {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some(String::from_utf8_lossy(&line).into_owned()))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, body: &str) -> io::Result<()> {
        self.respond_with(status, "", body)
    }

    pub fn respond_with(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.write(text.as_bytes())
    }

    /// Sends a request and reads its answer within the time.
    pub fn call(&mut self, head: &str, body: &[u8], limit_ms: u64) -> io::Result<Message> {
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
        self.write(&bytes)?;
        self.read(true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// One call on a connection of its own: method, path and body.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str, limit_ms: u64) -> io::Result<Message> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: local\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    Wire::connect(to)?.call(&head, body.as_bytes(), limit_ms)
}

/// The status of `/health/ready`, 0 if there is no answer.
pub fn readiness(proxy: SocketAddr) -> u16 {
    let ask = || {
        let head = "GET /health/ready HTTP/1.1\r\nHost: local\r\nConnection: close\r\n\r\n";
        Wire::connect(proxy)?.call(head, b"", 1000)
    };
    ask().map_or(0, |answer| answer.status())
}

/// One line to a second address, and its answer.
pub fn ops_call(ops: SocketAddr, line: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&ops, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Serves each connection at a listener with a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Wire) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                if let Ok(wire) = Wire::new(stream) {
                    handler(wire);
                }
            });
        }
    });
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: String,
    pub cell: u16,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Host {
    pub fn serving(name: &str, dial: SocketAddr) -> Host {
        Host { name: name.into(), dial, site: "local".into(), cell: 0, health: "SERVING", born_ms: 0 }
    }

    pub fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"m2","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.name, self.dial, self.site, self.cell, self.health, self.born_ms
        )
    }
}

/// Discovery's agent: answers the list, and a watch once there is something newer.
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

struct AgentState {
    seq: u64,
    hosts: Vec<(u64, Host)>,
}

impl Agent {
    pub fn start(record: Record, hosts: Vec<Host>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| die(&format!("agent: {e}")));
        let address = listener.local_addr().unwrap();
        let state = AgentState { seq: 41, hosts: hosts.into_iter().map(|h| (41, h)).collect() };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let shared = state.clone();
        serve(listener, move |mut wire| {
            while let Ok(Some(request)) = wire.read(false) {
                let query = request.target().split_once('?').map_or("", |(_, q)| q).to_string();
                let number = |key: &str| {
                    query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
                };
                let (after, wait) = (number("after"), number("wait_ms").unwrap_or(0).min(60_000));
                let (lock, changed) = &*shared;
                let mut state = lock.lock().unwrap();
                if let Some(after) = after {
                    let end = Instant::now() + Duration::from_millis(wait);
                    while state.seq <= after {
                        let left = end.saturating_duration_since(Instant::now());
                        if left.is_zero() {
                            break;
                        }
                        state = changed.wait_timeout(state, left).unwrap().0;
                    }
                }
                let whole = after.is_none_or(|after| after < 41);
                let newer = |(seq, host): &&(u64, Host)| match after {
                    Some(after) if !whole => *seq > after,
                    _ => host.health != "DELETED",
                };
                let list: Vec<String> = state.hosts.iter().filter(newer).map(|(_, h)| h.json()).collect();
                let body = format!(r#"{{"seq":{},"whole":{whole},"hosts":[{}]}}"#, state.seq, list.join(","));
                drop(state);
                if after.is_none() {
                    record.line(&format!("discovery told the list: {body}"));
                } else if !list.is_empty() {
                    record.line(&format!("discovery told changes: {body}"));
                }
                if wire.respond("200 OK", &body).is_err() {
                    return;
                }
            }
        });
        Agent { address, state }
    }

    /// Changes an entry, or adds it.
    pub fn set(&self, host: Host) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.seq += 1;
        let seq = state.seq;
        state.hosts.retain(|(_, h)| h.name != host.name);
        state.hosts.push((seq, host));
        changed.notify_all();
    }
}

/// The settings of a small deployment, in the platform's form: the classes are given as JSON.
pub fn settings(classes: &str, caps: &str) -> String {
    format!(
        r#"{{"caps":{caps},"classes":[{classes}],"clients":{{"marksRetry":true}},"discovery":"automatic",
"family":"chain","familyInfo":{{"passesDeadline":true}},
"goal":{{"whole":0.35,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.35}},
"guarantees":{{"askWithin":10000.0,"cold":8400.0,"coldFrom":0.31,"fall":1000.0,"fallMultiple":3.0,"graceToAnswer":20.0,"stopSendingWithin":300.0}},
"kinds":["front-std"],"loadInfo":{{"fields":[],"how":"silent"}},"localities":["local"],"locality":0,
"overShareWorth":0.2,"peersTotal":1,
"prices":{{"connection":0.0,"crossZone":0.015,"discovery":0.0,"handshake":0.0,"lateFail":0.025,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.008,"waste":0.038}},
"slotNo":0,"tenants":[],"tick":5.0,"tier":0,"tiers":["front"],"weights":"silent","worthBy":"request"}}"#
    )
}

/// What the example site allows (WIRE, "The settings").
pub const CAPS: &str = r#"{"cancelling":true,"connIdle":30000.0,"connectTimeout":250.0,"cpuUsPerRequest":0.0,"cpuUsPerS":15000,"maxRetryAfter":2000.0,"mayDuplicate":true,"openCap":20000,"peers":false,"probes":false,"retryAfter":true,"streamsPerConn":1,"tryLimit":4}"#;

/// A class of the settings.
pub fn class(name: &str, semantics: &str, group: &str, window: f64) -> String {
    format!(
        r#"{{"aim":1500.0,"giveUp":4000.0,"group":"{group}","lateWorth":0.25,"name":"{name}","points":3.0,"semantics":"{semantics}","stream":false,"window":{window:.1}}}"#
    )
}

/// The platform's JSON for one proxy. `more` is further keys, each with a comma before it.
pub fn proxy_config(name: &str, listen: SocketAddr, discovery: SocketAddr, settings: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"seq":0,"whole":true,"hosts":[]}},"settings":{settings}{more}}}"#
    )
}
