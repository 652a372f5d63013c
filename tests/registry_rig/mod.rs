//! The registry as a started process on loopback, and an HTTP client for it.
#![allow(dead_code)]

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Body;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;

pub use crate::waits::*;

/// Returns the path of a data directory under the target directory, removed if it exists.
pub fn data_dir(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("registry-{name}"));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// A started registry and the JSON lines it logs.
pub struct Registry {
    pub child: Child,
    pub address: SocketAddr,
    pub logs: mpsc::UnboundedReceiver<Value>,
    /// Lines logged before the registry listened.
    early: Vec<Value>,
}

impl Registry {
    /// Starts a registry on port 0 with this data directory and additional flags.
    pub async fn start(data: &Path, flags: &[&str]) -> Registry {
        Registry::start_command(Command::new(env!("CARGO_BIN_EXE_registry")), data, flags).await
    }

    /// Starts a registry with a resource limit, given as the arguments of `ulimit`.
    pub async fn start_limited(data: &Path, flags: &[&str], limit: &str) -> Registry {
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("ulimit {limit}; exec \"$0\" \"$@\""), env!("CARGO_BIN_EXE_registry")]);
        Registry::start_command(command, data, flags).await
    }

    async fn start_command(mut command: Command, data: &Path, flags: &[&str]) -> Registry {
        command.args(["--listen", "127.0.0.1:0", "--log-json", "--data"]).arg(data).args(flags);
        command.env("RUST_LOG", "info").stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.kill_on_drop(true).spawn().expect("the registry starts");
        let (log_sender, mut logs) = mpsc::unbounded_channel();
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                let _ = log_sender.send(serde_json::from_str(&line).unwrap_or(Value::String(line)));
            }
        });
        let mut early = Vec::new();
        let listening = within_deadline(async {
            loop {
                let line = logs.recv().await.expect("the registry logs its address");
                if line["message"] == "listening" {
                    return line;
                }
                early.push(line);
            }
        })
        .await;
        let address =
            listening["address"].as_str().expect("address is a string").parse().expect("valid address");
        Registry { child, address, logs, early }
    }

    /// Waits for a log line with this message, skipping others.
    pub async fn wait_for_log(&mut self, message: &str) -> Value {
        if let Some(at) = self.early.iter().position(|line| line["message"] == message) {
            return self.early.remove(at);
        }
        within_deadline(async {
            loop {
                let line = self.logs.recv().await.expect("the registry keeps logging");
                if line["message"] == message {
                    return line;
                }
            }
        })
        .await
    }

    /// Sends SIGKILL and waits for the process to end.
    pub async fn kill(mut self) {
        self.child.start_kill().expect("SIGKILL is sent");
        within_deadline(self.child.wait()).await.expect("process is waited for");
    }

    /// Sends a signal by name, as `kill` does.
    pub fn send_signal(&self, name: &str) {
        let pid = self.child.id().expect("process is running").to_string();
        let done = std::process::Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(done.success());
    }

    /// Counts the open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let pid = self.child.id().expect("process is running");
        std::fs::read_dir(format!("/proc/{pid}/fd")).expect("descriptor directory is readable").count()
    }

    /// Sends one call on a new connection.
    pub async fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        call(self.address, method, path, body.as_bytes().to_vec()).await.expect("registry responds")
    }

    /// Registers entries with a TTL and returns the version in the response.
    pub async fn put(&self, ttl_ms: u64, hosts: Vec<Value>) -> u64 {
        let body = json!({"ttl_ms": ttl_ms, "hosts": hosts}).to_string();
        let (status, text) = self.call("PUT", "/registry/instances", &body).await;
        assert_eq!(status, 200, "{text}");
        serde_json::from_str::<Value>(&text).expect("response is JSON")["seq"]
            .as_u64()
            .expect("response has a numeric `seq`")
    }

    /// Returns the list, or the response to a watch.
    pub async fn get(&self, query: &str) -> Value {
        let (status, text) = self.call("GET", &format!("/registry/instances{query}"), "").await;
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).expect("response is JSON")
    }
}

/// Sends one call on a new connection; fails if the connection does.
pub async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> Result<(u16, String), String> {
    RegistryConnection::default().call(address, method, path, body).await
}

/// Bytes of requests and responses, estimated from their visible parts.
pub static TRANSFERRED_BYTES: AtomicU64 = AtomicU64::new(0);

/// A connection kept between calls and replaced if it is closed or the address differs.
#[derive(Default)]
pub struct RegistryConnection {
    open: Option<(SocketAddr, SendRequest<Full<Bytes>>)>,
}

impl RegistryConnection {
    /// Sends one call; fails if the connection does.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(u16, String), String> {
        let open = self.open.take().filter(|(to, sender)| *to == address && !sender.is_closed());
        let mut sender = match open {
            Some((_, sender)) => sender,
            None => {
                let stream = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
                let (sender, connection) =
                    handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
                tokio::spawn(connection);
                sender
            }
        };
        let request = Request::builder().method(method).uri(path).header("host", address.to_string());
        let request = request.body(Full::new(Bytes::from(body))).map_err(|e| e.to_string())?;
        sender.ready().await.map_err(|e| e.to_string())?;
        let request_bytes =
            method.len() + path.len() + request.body().size_hint().exact().unwrap_or(0) as usize + 60;
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let head_bytes: usize =
            response.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
        let body = response.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        TRANSFERRED_BYTES.fetch_add((request_bytes + head_bytes + 19 + body.len()) as u64, Ordering::Relaxed);
        self.open = Some((address, sender));
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

/// Returns an entry in the form of a discovery list.
pub fn entry(host: &str, dial: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": dial.to_string(), "site": "a", "class": "m2", "block": 1, "health": health,
        "share": 1.0, "born_ms": 0})
}

/// Returns the host names in a list.
pub fn host_names(page: &Value) -> Vec<String> {
    let hosts = page["hosts"].as_array().expect("page has an array `hosts`");
    hosts.iter().map(|h| h["host"].as_str().expect("entry has a string `host`").to_string()).collect()
}
