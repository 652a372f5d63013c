//! The proxy in the test's own process, as `main` runs it except for the log and the command line.

use super::rig::{TestClient, connect, request};
use crate::config::{Args, Origin, load_from};
use crate::error::Error;
use clap::Parser;
use http_body_util::Full;
use hyper::Request;
use rustix::process::{Signal, getpid, kill_process};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::{JoinHandle, spawn_local, yield_now};

/// Lets one proxy run at a time, since a signal reaches every proxy in this process.
static SIGNAL_LOCK: Mutex<()> = Mutex::const_new(());

/// A proxy that runs in the test's process.
pub struct InProcessProxy {
    pub addr: SocketAddr,
    running: JoinHandle<Result<(), Error>>,
    _reserved: TcpSocket,
    _signal_guard: MutexGuard<'static, ()>,
}

impl InProcessProxy {
    /// Starts a proxy and waits until it listens.
    pub async fn start(config: &Value) -> InProcessProxy {
        let signal_guard = SIGNAL_LOCK.lock().await;
        let (reserved, addr) = reserve_address();
        let path = write_config(config);
        let listen = addr.to_string();
        let discovery = config["discovery"].as_str().expect("the address of discovery");
        let args = ["proxy", "--listen", &listen, "--discovery", discovery];
        let args = Args::try_parse_from(args).expect("a valid command line");
        let loaded = load_from(Origin::Platform(path.clone()), args);
        std::fs::remove_file(&path).expect("remove the configuration file");
        let running = spawn_local(crate::startup::run(loaded.expect("a valid configuration")));
        while TcpStream::connect(addr).await.is_err() {
            assert!(!running.is_finished(), "the proxy ended before it listened");
            yield_now().await;
        }
        InProcessProxy { addr, running, _reserved: reserved, _signal_guard: signal_guard }
    }

    /// Connects a client to the proxy.
    pub async fn connect_client(&self) -> TestClient {
        TestClient(connect(self.addr).await)
    }

    /// Makes one call on a new connection, and returns its status and body.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.connect_client().await.send(request(class).body(Full::default()).expect("a valid request")).await
    }

    /// Sends SIGTERM and waits until the readiness check fails.
    pub async fn terminate(&self) {
        kill_process(getpid(), Signal::TERM).expect("a signal to the own process");
        while self.readiness_status().await == 200 {
            yield_now().await;
        }
    }

    async fn readiness_status(&self) -> u16 {
        let request = Request::get("/health/ready").header("host", "p").body(Full::default());
        self.connect_client().await.send(request.expect("a valid request")).await.0
    }

    /// Waits until the proxy ends, and returns whether it ended without an error.
    pub async fn wait_for_exit(self) -> bool {
        self.running.await.expect("the task must not panic").is_ok()
    }
}

/// Reserves a port for the proxy. Connects to it are refused until the proxy listens.
fn reserve_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_reuseaddr(true).expect("set SO_REUSEADDR");
    socket.bind("127.0.0.1:0".parse().expect("a valid address")).expect("bind a loopback port");
    let addr = socket.local_addr().expect("the listener's address");
    (socket, addr)
}

/// Writes a configuration file in the platform's format. Unlike an operator's file it has no default list guard, so that
/// the lists of the test's agent apply immediately.
fn write_config(config: &Value) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("proxy-{}-{}.json", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config.to_string()).expect("write the configuration file");
    path
}
