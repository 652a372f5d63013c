//! The proxy program as a started process.

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
    /// Operations address, if configured.
    pub ops: Option<SocketAddr>,
    config: std::path::PathBuf,
    child: Child,
    log: tokio::io::Lines<BufReader<ChildStderr>>,
}

/// Writes a configuration to a new file and returns its path.
pub fn write_config(text: &str) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the test directory is writable");
    path
}

impl Drop for ProxyProcess {
    /// Waits for the process to end: if it outlived its test, it would send discovery requests without a request id to
    /// ports that another test has reused.
    fn drop(&mut self) {
        // Fails only if the process has already ended.
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

    /// Starts the program by a shell command, where it is `$0`, and waits until it listens.
    pub async fn start_with_command(config: &Value, command: &str) -> Self {
        let mut proxy = ProxyProcess::spawn(config, command);
        if config["ops"].is_string() {
            proxy.ops = Some(proxy.wait_for_address("ops on ").await);
        }
        proxy.addr = proxy.wait_for_address("listening on ").await;
        proxy
    }

    /// Starts the program without waiting for its addresses.
    pub fn spawn(config: &Value, command: &str) -> Self {
        let path = write_config(&config.to_string());
        let mut child = Command::new("/bin/sh")
            .args(["-c", command, env!("CARGO_BIN_EXE_proxy")])
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_OPS")
            .env("RELAY_DISCOVERY", config["discovery"].as_str().expect("discovery address is a string"))
            .env("RELAY_CONFIG", &path)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        ProxyProcess { addr: SocketAddr::from(([0; 4], 0)), ops: None, config: path, child, log }
    }

    /// Waits for a log line with `prefix` and returns the address that follows it.
    pub async fn wait_for_address(&mut self, prefix: &str) -> SocketAddr {
        loop {
            let line =
                within_deadline(self.log.next_line()).await.expect("log is readable").expect("log continues");
            if let Some((_, addr)) = line.split_once(prefix) {
                return addr.parse().expect("valid address");
            }
        }
    }

    /// Connects to the operations address.
    pub async fn connect_ops(&self) -> TcpStream {
        within_deadline(TcpStream::connect(self.ops.expect("operations address is configured")))
            .await
            .expect("the program listens")
    }

    /// Sends one call to the operations address and returns the whole response, which must arrive within 1 s.
    pub async fn ops_call(&self, call: &str) -> String {
        let answer = async {
            let mut stream = self.connect_ops().await;
            stream.write_all(format!("{call}\n").as_bytes()).await.expect("connection stays open");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).await.expect("response is UTF-8");
            answer
        };
        timeout(Duration::from_secs(1), answer).await.expect("response within 1 s")
    }

    /// Returns the status of `/health/ready`.
    pub async fn readiness_status(&self) -> u16 {
        let request = Request::get("/health/ready").header("host", "p").body(Full::default());
        self.connect_client().await.send(request.expect("valid request")).await.0
    }

    /// Starts the program and waits until it has the list.
    pub async fn start_synced(discovery: &TestDiscovery, settings: Value) -> Self {
        let proxy = ProxyProcess::start(discovery, settings).await;
        discovery.wait_until_synced().await;
        proxy
    }

    /// Sends SIGTERM and waits until the program logs that it stops.
    pub async fn terminate(&mut self) {
        self.signal("-TERM", "stopping").await;
    }

    /// Replaces the configuration, sends SIGHUP and waits until the program logs `notice`.
    pub async fn reload(&mut self, text: &str, notice: &str) {
        self.replace_config(text);
        self.signal("-HUP", notice).await;
    }

    /// Replaces the configuration file without a signal.
    pub fn replace_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("the test directory is writable");
    }

    /// Returns the `/proc` directory of the process, which exists until the ended process is waited for.
    pub fn proc_dir(&self) -> std::path::PathBuf {
        format!("/proc/{}", self.child.id().expect("process is running")).into()
    }

    /// Counts the open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let id = self.child.id().expect("process is running");
        std::fs::read_dir(format!("/proc/{id}/fd")).expect("process is running").count()
    }

    async fn signal(&mut self, name: &str, notice: &str) {
        self.send_signal(name);
        self.wait_for_log(notice).await;
    }

    /// Sends a signal by name, as `kill` does.
    pub fn send_signal(&self, name: &str) {
        let id = self.child.id().expect("process is running").to_string();
        let sent = std::process::Command::new("kill").args([name, &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits until the program logs `notice`.
    pub async fn wait_for_log(&mut self, notice: &str) {
        while !within_deadline(self.log.next_line())
            .await
            .expect("log is readable")
            .expect("log continues")
            .contains(notice)
        {}
    }

    /// Returns the log lines up to and including the one with `notice`.
    pub async fn log_until(&mut self, notice: &str) -> Vec<String> {
        let mut lines = Vec::new();
        while !lines.last().is_some_and(|line: &String| line.contains(notice)) {
            lines.push(
                within_deadline(self.log.next_line()).await.expect("log is readable").expect("log continues"),
            );
        }
        lines
    }

    /// Returns whether the process sleeps while connections wait in its accept queue. No client may connect meanwhile.
    pub fn has_stopped_accepting(&self) -> bool {
        let waiting = accept_queue_len(self.addr);
        let id = self.child.id().expect("process is running");
        let is_sleeping =
            std::fs::read_to_string(format!("/proc/{id}/stat")).expect("process is running").contains(") S ");
        is_sleeping && waiting > 0 && accept_queue_len(self.addr) == waiting
    }

    /// Returns the log lines from here to the end of the process.
    pub async fn remaining_log(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(line) = within_deadline(self.log.next_line()).await.expect("log is readable") {
            lines.push(line);
        }
        lines
    }

    /// Kills the process and waits for its end.
    pub async fn kill(mut self) {
        within_deadline(self.child.kill()).await.expect("process is waited for");
    }

    /// Returns the peak resident memory of the process, in MB.
    pub fn peak_memory_mb(&self) -> usize {
        self.memory_mb("VmHWM:")
    }

    /// Returns the current resident memory of the process, in MB.
    pub fn current_memory_mb(&self) -> usize {
        self.memory_mb("VmRSS:")
    }

    fn memory_mb(&self, field: &str) -> usize {
        let id = self.child.id().expect("process is running");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("process is running");
        let line =
            status.lines().find_map(|l| l.strip_prefix(field)).expect("field is in the process status");
        line.split_whitespace().next().and_then(|kb| kb.parse::<usize>().ok()).expect("memory size in kB")
            / 1024
    }

    /// Sends SIGSTOP and waits until the process is stopped; `-CONT` resumes it.
    pub async fn suspend(&self) {
        self.send_signal("-STOP");
        let id = self.child.id().expect("process is running");
        let is_stopped =
            || std::fs::read_to_string(format!("/proc/{id}/stat")).is_ok_and(|s| s.contains(") T "));
        while !is_stopped() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Waits for the process to end.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        within_deadline(self.child.wait()).await.expect("process is waited for")
    }

    pub async fn connect_client(&self) -> TestClient {
        TestClient(connect(self.addr).await)
    }

    /// Sends one call on a new connection and returns status and body.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.connect_client().await.call(class).await
    }
}
