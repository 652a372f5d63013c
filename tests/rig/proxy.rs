//! The program as a started process.

use super::{TestClient, TestDiscovery, accept_queue_len, connect, within_deadline};
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

pub struct ProxyProcess {
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

impl Drop for ProxyProcess {
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

impl ProxyProcess {
    pub async fn start(discovery: &TestDiscovery, settings: Value) -> Self {
        ProxyProcess::start_with_command(&discovery.proxy_config(settings), "exec \"$0\"").await
    }

    /// Starts the program by a shell command in which it is `$0`, and waits until it listens.
    pub async fn start_with_command(config: &Value, command: &str) -> Self {
        let mut proxy = ProxyProcess::spawn(config, command);
        if config["ops"].is_string() {
            proxy.ops = Some(proxy.wait_for_address("ops on ").await);
        }
        proxy.addr = proxy.wait_for_address("listening on ").await;
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
        ProxyProcess { addr: SocketAddr::from(([0; 4], 0)), ops: None, config: path, child, log }
    }

    /// Waits until the program names an address in its log.
    pub async fn wait_for_address(&mut self, what: &str) -> SocketAddr {
        loop {
            let line = within_deadline(self.log.next_line()).await.expect("readable").expect("it goes on");
            if let Some((_, addr)) = line.split_once(what) {
                return addr.parse().expect("an address");
            }
        }
    }

    /// A connection to the operators' address.
    pub async fn connect_ops(&self) -> TcpStream {
        within_deadline(TcpStream::connect(self.ops.expect("it has one"))).await.expect("it listens")
    }

    /// One call to the operators' address: all that it answers, which must come in time.
    pub async fn ops_call(&self, call: &str) -> String {
        let answer = async {
            let mut stream = self.connect_ops().await;
            stream.write_all(format!("{call}\n").as_bytes()).await.expect("open");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("text");
            answer
        };
        timeout(Duration::from_secs(1), answer).await.expect("answered within 1 s")
    }

    /// What `/health/ready` says.
    pub async fn readiness_status(&self) -> u16 {
        let request = Request::get("/health/ready").header("host", "p").body(Full::default());
        self.connect_client().await.send(request.expect("well formed")).await.0
    }

    /// The proxy, once it holds discovery's list.
    pub async fn start_synced(discovery: &TestDiscovery, settings: Value) -> Self {
        let proxy = ProxyProcess::start(discovery, settings).await;
        discovery.wait_until_synced().await;
        proxy
    }

    /// Sends SIGTERM and waits until the program has taken notice.
    pub async fn terminate(&mut self) {
        self.signal("-TERM", "stopping").await;
    }

    /// Replaces the configuration, sends SIGHUP and waits until the program says `notice`.
    pub async fn reload(&mut self, text: &str, notice: &str) {
        self.replace_config(text);
        self.signal("-HUP", notice).await;
    }

    /// Replaces the configuration and says nothing of it.
    pub fn replace_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the folder for tests takes a file");
    }

    /// The system's directory on the program; there as long as the program is, or is not waited for.
    pub fn proc_dir(&self) -> std::path::PathBuf {
        format!("/proc/{}", self.child.id().expect("it runs")).into()
    }

    /// How many descriptors the program holds now.
    pub fn descriptors(&self) -> usize {
        let id = self.child.id().expect("it runs");
        std::fs::read_dir(format!("/proc/{id}/fd")).expect("it runs").count()
    }

    async fn signal(&mut self, name: &str, notice: &str) {
        self.send_signal(name);
        self.wait_for_log(notice).await;
    }

    /// Sends a signal by name, as `kill` does.
    pub fn send_signal(&self, name: &str) {
        let id = self.child.id().expect("it runs").to_string();
        let sent = std::process::Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until the program logs `notice`.
    pub async fn wait_for_log(&mut self, notice: &str) {
        while !within_deadline(self.log.next_line())
            .await
            .expect("readable")
            .expect("it goes on")
            .contains(notice)
        {}
    }

    /// What the program logs up to `notice`, and that line.
    pub async fn log_until(&mut self, notice: &str) -> Vec<String> {
        let mut lines = Vec::new();
        while !lines.last().is_some_and(|line: &String| line.contains(notice)) {
            lines.push(within_deadline(self.log.next_line()).await.expect("readable").expect("it goes on"));
        }
        lines
    }

    /// Whether the program rests while somebody waits in its listener's queue: it takes nobody more. Nobody may connect
    /// meanwhile.
    pub fn has_stopped_accepting(&self) -> bool {
        let waiting = accept_queue_len(self.addr);
        let id = self.child.id().expect("it runs");
        let rests = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs").contains(") S ");
        rests && waiting > 0 && accept_queue_len(self.addr) == waiting
    }

    /// What the program has yet to say, up to its end.
    pub async fn remaining_log(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(line) = within_deadline(self.log.next_line()).await.expect("readable") {
            lines.push(line);
        }
        lines
    }

    /// Kills the program and waits until it is gone.
    pub async fn kill(mut self) {
        within_deadline(self.child.kill()).await.expect("it ran");
    }

    /// The most memory that the program has held so far, in MB.
    pub fn peak_memory_mb(&self) -> usize {
        self.memory_mb("VmHWM:")
    }

    /// The memory that the program holds now, in MB.
    pub fn current_memory_mb(&self) -> usize {
        self.memory_mb("VmRSS:")
    }

    fn memory_mb(&self, field: &str) -> usize {
        let id = self.child.id().expect("it runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix(field)).expect("the system tells it");
        line.split_whitespace().next().and_then(|kb| kb.parse::<usize>().ok()).expect("a number") / 1024
    }

    /// Stops the program where it is until it is sent `-CONT`, and waits until it stands still.
    pub async fn suspend(&self) {
        self.send_signal("-STOP");
        let id = self.child.id().expect("it runs");
        let stands = || std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|s| s.contains(") T "));
        while !stands() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within_deadline(self.child.wait()).await.expect("it ran")
    }

    pub async fn connect_client(&self) -> TestClient {
        TestClient(connect(self.addr).await)
    }

    /// One call on a connection of its own: status and body.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.connect_client().await.call(class).await
    }
}
