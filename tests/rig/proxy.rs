//! The program as a started process.

use super::{Caller, Discovery, connect, in_queue, soon};
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStderr, Command};
use tokio::time::timeout;

pub struct Proxy {
    pub addr: SocketAddr,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    config: std::path::PathBuf,
    child: Child,
    log: tokio::io::Lines<BufReader<ChildStderr>>,
}

/// Writes a configuration where the program finds it.
pub fn write_config(text: &str) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the folder for tests takes a file");
    path
}

impl Drop for Proxy {
    /// Waits for the program's end: one that outlived its test would ask for its list, with a request that has no id, at
    /// ports that are another test's by then.
    fn drop(&mut self) {
        // It fails only where the program has ended.
        let _ = self.child.start_kill();
        while matches!(self.child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Proxy {
    pub async fn start(discovery: &Discovery, settings: Value) -> Self {
        Proxy::start_as(&discovery.config(settings), "exec \"$0\"").await
    }

    /// Starts the program by a shell command in which it is `$0`, and waits until it listens.
    pub async fn start_as(config: &Value, command: &str) -> Self {
        let mut proxy = Proxy::spawn(config, command);
        if config["ops"].is_string() {
            proxy.ops = Some(proxy.says("ops on ").await);
        }
        proxy.addr = proxy.says("listening on ").await;
        proxy
    }

    /// Starts the program; its addresses are not known yet.
    pub fn spawn(config: &Value, command: &str) -> Self {
        let path = write_config(&config.to_string());
        let mut child = Command::new("/bin/sh")
            .args(["-c", command, env!("CARGO_BIN_EXE_proxy")])
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_OPS")
            .env("RELAY_DISCOVERY", config["discovery"].as_str().expect("text"))
            .env("RELAY_CONFIG", &path)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("piped")).lines();
        Proxy { addr: SocketAddr::from(([0; 4], 0)), ops: None, config: path, child, log }
    }

    /// Waits until the program names an address in its log.
    pub async fn says(&mut self, what: &str) -> SocketAddr {
        loop {
            let line = soon(self.log.next_line()).await.expect("readable").expect("it goes on");
            if let Some((_, addr)) = line.split_once(what) {
                return addr.parse().expect("an address");
            }
        }
    }

    /// A connection to the operators' address.
    pub async fn operator(&self) -> TcpStream {
        soon(TcpStream::connect(self.ops.expect("it has one"))).await.expect("it listens")
    }

    /// One call to the operators' address: all that it answers, which must come in time.
    pub async fn tell(&self, call: &str) -> String {
        let answer = async {
            let mut stream = self.operator().await;
            stream.write_all(format!("{call}\n").as_bytes()).await.expect("open");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("text");
            answer
        };
        timeout(Duration::from_secs(1), answer).await.expect("answered within 1 s")
    }

    /// What `/health/ready` says.
    pub async fn ready(&self) -> u16 {
        let request = Request::get("/health/ready").header("host", "p").body(Full::default());
        self.caller().await.send(request.expect("well formed")).await.0
    }

    /// The proxy, once it holds discovery's list.
    pub async fn settled(discovery: &Discovery, settings: Value) -> Self {
        let proxy = Proxy::start(discovery, settings).await;
        discovery.settled().await;
        proxy
    }

    /// Sends SIGTERM and waits until the program has taken notice.
    pub async fn terminate(&mut self) {
        self.signal("-TERM", "stopping").await;
    }

    /// Replaces the configuration, sends SIGHUP and waits until the program says `notice`.
    pub async fn reload(&mut self, text: &str, notice: &str) {
        self.rewrite(text);
        self.signal("-HUP", notice).await;
    }

    /// Replaces the configuration and says nothing of it.
    pub fn rewrite(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the folder for tests takes a file");
    }

    /// The system's directory on the program; there as long as the program is, or is not waited for.
    pub fn process(&self) -> std::path::PathBuf {
        format!("/proc/{}", self.child.id().expect("it runs")).into()
    }

    /// How many descriptors the program holds now.
    pub fn descriptors(&self) -> usize {
        let id = self.child.id().expect("it runs");
        std::fs::read_dir(format!("/proc/{id}/fd")).expect("it runs").count()
    }

    async fn signal(&mut self, name: &str, notice: &str) {
        self.send_signal(name);
        self.notes(notice).await;
    }

    /// Sends a signal by name, as `kill` does.
    pub fn send_signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = std::process::Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until the program logs `notice`.
    pub async fn notes(&mut self, notice: &str) {
        while !soon(self.log.next_line()).await.expect("readable").expect("it goes on").contains(notice) {}
    }

    /// What the program logs up to `notice`, and that line.
    pub async fn log_until(&mut self, notice: &str) -> Vec<String> {
        let mut lines = Vec::new();
        while !lines.last().is_some_and(|line: &String| line.contains(notice)) {
            lines.push(soon(self.log.next_line()).await.expect("readable").expect("it goes on"));
        }
        lines
    }

    /// Whether the program rests while somebody waits in its listener's queue: it takes nobody more. Nobody may connect
    /// meanwhile.
    pub fn takes_nobody(&self) -> bool {
        let waiting = in_queue(self.addr);
        let id = self.child.id().expect("it runs");
        let rests = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs").contains(") S ");
        rests && waiting > 0 && in_queue(self.addr) == waiting
    }

    /// What the program has yet to say, up to its end.
    pub async fn rest_of_log(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(line) = soon(self.log.next_line()).await.expect("readable") {
            lines.push(line);
        }
        lines
    }

    /// Kills the program and waits until it is gone.
    pub async fn kill(mut self) {
        soon(self.child.kill()).await.expect("it ran");
    }

    /// The most memory that the program has held so far, in MB.
    pub fn peak_mb(&self) -> usize {
        self.memory_mb("VmHWM:")
    }

    /// The memory that the program holds now, in MB.
    pub fn held_mb(&self) -> usize {
        self.memory_mb("VmRSS:")
    }

    fn memory_mb(&self, field: &str) -> usize {
        let id = self.child.id().expect("it runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix(field)).expect("the system tells it");
        line.split_whitespace().next().and_then(|kb| kb.parse::<usize>().ok()).expect("a number") / 1024
    }

    /// Stops the program where it is until it is sent `-CONT`, and waits until it stands still.
    pub async fn stand_still(&self) {
        self.send_signal("-STOP");
        let id = self.child.id().expect("it runs");
        let stands = || std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|s| s.contains(") T "));
        while !stands() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    pub async fn ended(&mut self) -> ExitStatus {
        soon(self.child.wait()).await.expect("it ran")
    }

    pub async fn caller(&self) -> Caller {
        Caller(connect(self.addr).await)
    }

    /// One call on a connection of its own: status and body.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.caller().await.call(class).await
    }
}
