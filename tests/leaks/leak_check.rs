//! A proxy process, its resource usage at the start, and the check that it returns to that usage.

use crate::backend::Backend;
use crate::rig::{
    ProxyProcess, TEST_DEADLINE, TestDiscovery, connections_to, endpoint_entry, with_cap, within_deadline,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Disconnects of each kind.
pub const DISCONNECTS: usize = 10_000;
/// Disconnects in a batch.
pub const BATCH_SIZE: usize = 20;
/// Listed backends: a new process admits twice as many requests as it has backends, which is more than a batch.
const BACKENDS: usize = 12;
/// Allowed growth of the peak memory, in MB, after the first tenth of the disconnects.
const MAX_GROWTH_MB: usize = 4;

/// Most calls to discovery that a proxy has in flight while a watch is not answered.
const MAX_DISCOVERY_CALLS: usize = 3;

/// Running proxy and backend, with the number of descriptors at the start.
pub struct LeakCheck {
    pub proxy: ProxyProcess,
    pub backend: Arc<Backend>,
    _discovery: TestDiscovery,
    discovery_addr: SocketAddr,
    /// Those that are no connection to discovery.
    initial_descriptors: usize,
}

impl LeakCheck {
    /// Starts a proxy that closes idle connections after a second and has memory for four buffered bodies.
    pub async fn start() -> Self {
        LeakCheck::start_with_discovery(async |_| None).await
    }

    /// Starts a proxy as [`LeakCheck::start`] does; `discovery_for` gets the endpoint list and may return the address
    /// of another discovery service.
    pub async fn start_with_discovery(
        discovery_for: impl AsyncFnOnce(Vec<Value>) -> Option<SocketAddr>,
    ) -> Self {
        let backend = Backend::start(BACKENDS).await;
        let list = backend.addrs.iter().enumerate();
        let list: Vec<_> = list.map(|(n, addr)| endpoint_entry(&format!("b{n}"), *addr, "SERVING")).collect();
        let discovery = TestDiscovery::start(list.clone()).await;
        let mut config = discovery.proxy_config(with_cap("connIdle", 2000.0.into()));
        config["ops"] = "127.0.0.1:0".into();
        config["limits"]["memory_mb"] = 1.into();
        if let Some(address) = discovery_for(list).await {
            config["discovery"] = address.to_string().into();
        }
        let proxy = ProxyProcess::start_with_command(&config, "exec \"$0\"").await;
        within_deadline(async { while proxy.readiness_status().await != 200 {} }).await;
        let discovery_addr = config["discovery"].as_str().expect("an address").parse().expect("an address");
        let mut check =
            LeakCheck { proxy, backend, _discovery: discovery, discovery_addr, initial_descriptors: 0 };
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(300) || check.initial_descriptors == 0 {
            assert!(started.elapsed() < TEST_DEADLINE, "the connections to discovery never settle");
            check.initial_descriptors = check.initial_descriptors.max(check.descriptors().unwrap_or(0));
            sleep(Duration::from_millis(5)).await;
        }
        check
    }

    /// Opens a connection to the proxy and writes `text`.
    pub async fn client(&self, text: &[u8]) -> TcpStream {
        let mut stream =
            within_deadline(TcpStream::connect(self.proxy.addr)).await.expect("proxy accepts a connection");
        stream.write_all(text).await.expect("connection is open");
        stream
    }

    /// Runs batches, each of which returns its number of disconnects, until there were [`DISCONNECTS`], and checks for
    /// leaks.
    pub async fn run_batches(&self, mut batch: impl AsyncFnMut() -> usize) {
        let (mut disconnects, mut early_peak, mut last) = (0, None, Instant::now());
        while disconnects < DISCONNECTS {
            let made = batch().await;
            (disconnects, last) = (disconnects + made, if made > 0 { Instant::now() } else { last });
            assert!(
                last.elapsed() < TEST_DEADLINE,
                "no disconnect within the test deadline after {disconnects} of them"
            );
            if disconnects >= DISCONNECTS / 10 {
                early_peak.get_or_insert_with(|| self.proxy.peak_memory_mb());
            }
        }
        self.assert_resources_released().await;
        // The system counts resident pages with a small error, so that a later reading of the peak may be lower.
        let early_peak = early_peak.expect("at least a tenth of the disconnects");
        let grown = self.proxy.peak_memory_mb().saturating_sub(early_peak);
        assert!(grown <= MAX_GROWTH_MB, "{grown} MB more than after a tenth of the disconnects");
    }

    /// Waits until all descriptors, requests and connections are released, and checks that body memory is free.
    pub async fn assert_resources_released(&self) {
        self.wait_until_released().await;
        self.assert_body_memory_free().await;
        self.wait_until_released().await;
    }

    /// Returns the number of descriptors that are no connection to discovery, of which there are one to three: this
    /// discovery answers no watch before its list changes, so that the proxy calls again. Returns `None` if the number
    /// of connections changed meanwhile.
    fn descriptors(&self) -> Option<usize> {
        let calls = connections_to(self.discovery_addr);
        let descriptors = self.proxy.descriptors();
        let is_steady = calls == connections_to(self.discovery_addr) && calls <= MAX_DISCOVERY_CALLS;
        is_steady.then_some(descriptors - calls)
    }

    async fn wait_until_released(&self) {
        let mut last = String::new();
        let started = Instant::now();
        while started.elapsed() < TEST_DEADLINE {
            let page = self.proxy.ops_call("counters").await;
            let page: Value =
                serde_json::from_str(page.lines().next().expect("a counters page")).expect("valid JSON");
            let (in_flight, open) = (page["in_flight"].clone(), self.backend.open.load(SeqCst));
            let descriptors = self.descriptors();
            let are_released = descriptors.is_some_and(|count| count <= self.initial_descriptors);
            if in_flight == 0 && open == 0 && are_released {
                return;
            }
            last = format!(
                "{in_flight} in flight, {open} connections to the backend, {descriptors:?} descriptors"
            );
            sleep(Duration::from_millis(100)).await;
        }
        panic!("{last}; {} descriptors at the start", self.initial_descriptors);
    }

    /// Checks that a body of the longest buffered length is retried after a reset, which only a buffered body is.
    async fn assert_body_memory_free(&self) {
        let resets = self.backend.resets.load(SeqCst);
        let text = request("keep", "reset", 64 * 1024 - 1);
        let mut stream = self.client(text.as_bytes()).await;
        stream.write_all(&[b'x'; 64 * 1024 - 1]).await.expect("connection is open");
        let _answer =
            within_deadline(tokio::io::AsyncReadExt::read_u8(&mut stream)).await.expect("a response");
        let tries = self.backend.resets.load(SeqCst) - resets;
        assert!(tries > 1, "{tries} attempts: no memory was left to buffer the body");
    }
}

/// Returns a request head of a class that tells the backend what to do and announces a body of `length` bytes.
pub fn request(class: &str, behavior: &str, length: usize) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, SeqCst);
    let class_headers = match class {
        "look" => String::new(),
        "keep" => format!("Idempotency-Key: {id}\r\nContent-Length: {length}\r\n"),
        _ => format!("Content-Length: {length}\r\n"),
    };
    let method = if class == "look" { "GET" } else { "POST" };
    format!(
        "{method} /{class}?do={behavior} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: 60000\r\n{class_headers}\r\n"
    )
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    stream.set_zero_linger().expect("connection is open");
}
