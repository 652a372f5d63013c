//! The program as its `main` runs it, but for the log and the command line.

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

/// A signal reaches every program that runs in this process.
static ALONE: Mutex<()> = Mutex::const_new(());

/// The running program.
pub struct Program {
    pub addr: SocketAddr,
    running: JoinHandle<Result<(), Error>>,
    _place: TcpSocket,
    _alone: MutexGuard<'static, ()>,
}

impl Program {
    /// Starts it and waits until it listens.
    pub async fn start(config: &Value) -> Program {
        let alone = ALONE.lock().await;
        let (place, addr) = place();
        let path = written(config);
        let listen = addr.to_string();
        let discovery = config["discovery"].as_str().expect("text");
        let args = ["proxy", "--listen", &listen, "--discovery", discovery];
        let args = Args::try_parse_from(args).expect("a command line");
        let loaded = load_from(Origin::Platform(path.clone()), args);
        std::fs::remove_file(&path).expect("it is there");
        let running = spawn_local(crate::startup::run(loaded.expect("a configuration")));
        while TcpStream::connect(addr).await.is_err() {
            assert!(!running.is_finished(), "it runs");
            yield_now().await;
        }
        Program { addr, running, _place: place, _alone: alone }
    }

    pub async fn caller(&self) -> TestClient {
        TestClient(connect(self.addr).await)
    }

    /// One call on a connection of its own: status and body.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.caller().await.send(request(class).body(Full::default()).expect("well formed")).await
    }

    /// Sends SIGTERM and waits until it is noticed.
    pub async fn terminate(&self) {
        kill_process(getpid(), Signal::TERM).expect("its own process");
        while self.ready().await == 200 {
            yield_now().await;
        }
    }

    async fn ready(&self) -> u16 {
        let request = Request::get("/health/ready").header("host", "p").body(Full::default());
        self.caller().await.send(request.expect("well formed")).await.0
    }

    /// Waits until it ends, and says whether it did well.
    pub async fn ended(self) -> bool {
        self.running.await.expect("no panic").is_ok()
    }
}

/// A port that is kept for the program; connects to it are refused until it listens.
fn place() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("open");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let addr = socket.local_addr().expect("bound");
    (socket, addr)
}

/// Writes a configuration as the platform does: what its agent has counts at once.
fn written(config: &Value) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("proxy-{}-{}.json", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config.to_string()).expect("the folder takes a file");
    path
}
