//! A process, what it holds at the start, and the wait for it to hold no more.

use crate::backend::Backend;
use crate::rig::{ProxyProcess, TEST_DEADLINE, TestDiscovery, endpoint_entry, with_cap, within_deadline};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Ends of each kind.
pub const ENDS: usize = 10_000;
/// Ends at a time.
pub const AT_ONCE: usize = 20;
/// Backends that are listed: as a new process takes twice as many calls as it has members, all of a batch are taken.
const MEMBERS: usize = 12;
/// What the process may hold more after all ends than after the first of them, in MB.
const GROWTH: usize = 4;

pub struct Stage {
    pub proxy: ProxyProcess,
    pub backend: Arc<Backend>,
    _discovery: TestDiscovery,
    base: usize,
}

impl Stage {
    /// A process whose kept connections are closed after a second, with room for four bodies that are held.
    pub async fn set() -> Self {
        Stage::found_by(async |_| None).await
    }

    /// The same; who is told the list may give another address that discovery is to be asked at.
    pub async fn found_by(other: impl AsyncFnOnce(Vec<Value>) -> Option<SocketAddr>) -> Self {
        let backend = Backend::start(MEMBERS).await;
        let list = backend.addrs.iter().enumerate();
        let list: Vec<_> = list.map(|(n, addr)| endpoint_entry(&format!("b{n}"), *addr, "SERVING")).collect();
        let discovery = TestDiscovery::start(list.clone()).await;
        let mut config = discovery.proxy_config(with_cap("connIdle", 2000.0.into()));
        config["ops"] = "127.0.0.1:0".into();
        config["limits"]["memory_mb"] = 1.into();
        if let Some(other) = other(list).await {
            config["discovery"] = other.to_string().into();
        }
        let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
        within_deadline(async { while proxy.readiness_status().await != 200 {} }).await;
        let mut stage = Stage { proxy, backend, _discovery: discovery, base: 0 };
        // Between two calls to discovery the process has one descriptor less: what it holds at the most counts.
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(300) {
            stage.base = stage.base.max(stage.proxy.descriptors());
            sleep(Duration::from_millis(5)).await;
        }
        stage
    }

    /// A connection on which this is written.
    pub async fn client(&self, text: &[u8]) -> TcpStream {
        let mut stream = within_deadline(TcpStream::connect(self.proxy.addr)).await.expect("it listens");
        stream.write_all(text).await.expect("open");
        stream
    }

    /// Makes `ENDS` ends, in batches that tell how many they made, and sees what is left of them.
    pub async fn after(&self, mut batch: impl AsyncFnMut() -> usize) {
        let (mut ends, mut early, mut last) = (0, None, Instant::now());
        while ends < ENDS {
            let made = batch().await;
            (ends, last) = (ends + made, if made > 0 { Instant::now() } else { last });
            assert!(last.elapsed() < TEST_DEADLINE, "after {ends} ends nothing gets as far as to end");
            if ends >= ENDS / 10 {
                early.get_or_insert_with(|| self.proxy.peak_memory_mb());
            }
        }
        self.back_to_the_start().await;
        let grown = self.proxy.peak_memory_mb() - early.expect("a tenth was passed");
        assert!(grown <= GROWTH, "{grown} MB more than after a tenth of the ends");
    }

    /// Waits until nothing is left of what was done, and sees that there is room for a body.
    pub async fn back_to_the_start(&self) {
        self.at_rest().await;
        self.has_room().await;
        self.at_rest().await;
    }

    async fn at_rest(&self) {
        let mut last = String::new();
        let begun = Instant::now();
        while begun.elapsed() < TEST_DEADLINE {
            let page = self.proxy.ops_call("counters").await;
            let page: Value = serde_json::from_str(page.lines().next().expect("a page")).expect("JSON");
            let (in_flight, open) = (page["in_flight"].clone(), self.backend.open.load(SeqCst));
            let descriptors = self.proxy.descriptors();
            if in_flight == 0 && open == 0 && descriptors <= self.base {
                return;
            }
            last = format!(
                "{in_flight} in flight, {open} connections to the backend, {descriptors} descriptors"
            );
            sleep(Duration::from_millis(100)).await;
        }
        panic!("{last}; {} descriptors at the start", self.base);
    }

    /// A body of the longest length that is held is sent again after a reset: it was held.
    async fn has_room(&self) {
        let resets = self.backend.resets.load(SeqCst);
        let text = request("keep", "reset", 64 * 1024 - 1);
        let mut stream = self.client(text.as_bytes()).await;
        stream.write_all(&[b'x'; 64 * 1024 - 1]).await.expect("open");
        let _answer =
            within_deadline(tokio::io::AsyncReadExt::read_u8(&mut stream)).await.expect("an answer");
        let tries = self.backend.resets.load(SeqCst) - resets;
        assert!(tries > 1, "{tries} attempts: no room was left to hold it");
    }
}

/// A request's head: of a class, with what the backend is to do, and a body of this length announced.
pub fn request(class: &str, what: &str, length: usize) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, SeqCst);
    let own = match class {
        "look" => String::new(),
        "keep" => format!("Idempotency-Key: {id}\r\nContent-Length: {length}\r\n"),
        _ => format!("Content-Length: {length}\r\n"),
    };
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?do={what} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 60000\r\n{own}\r\n"
    )
}

/// Ends a connection with a reset.
pub fn reset(stream: TcpStream) {
    stream.set_zero_linger().expect("open");
}
