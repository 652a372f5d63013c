//! In-process backends that serve any number of concurrent calls, each for an exponential time, and count them.

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::Exp1;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Interval in which calls are counted for peaks.
pub const COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// Mean service time of a call.
pub const MEAN_WORK: Duration = Duration::from_millis(50);

/// Behaviour and counters of a backend.
pub struct BackendState {
    /// Mean service time of a call, in microseconds.
    pub work_us: AtomicU64,
    /// Whether calls get a 500 immediately.
    pub respond_500: AtomicBool,
    /// Calls received.
    pub calls: AtomicUsize,
    /// Open connections.
    pub open_connections: AtomicUsize,
    /// Connections accepted so far.
    pub connections_total: AtomicUsize,
    /// Calls in progress.
    pub in_progress: AtomicUsize,
    /// Calls received from each group of clients.
    pub by_group: [AtomicUsize; 2],
    /// Calls in each interval since the first backend started.
    pub interval_calls: Mutex<Vec<usize>>,
    /// Draws the service times.
    rng: Mutex<StdRng>,
}

/// A backend that closes its listener and connections on drop.
pub struct Backend {
    pub name: String,
    pub addr: SocketAddr,
    pub state: Arc<BackendState>,
    born_ms: u64,
    serving: AbortHandle,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

/// Decrements a counter on drop.
struct DecrementOnDrop<'a>(&'a AtomicUsize);

impl Drop for DecrementOnDrop<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, SeqCst);
    }
}

impl Backend {
    /// Starts a backend whose entry has this start time, in Unix milliseconds; 0 means long ago.
    pub async fn start(name: String, seed: u64, born_ms: u64) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a loopback port");
        let addr = listener.local_addr().expect("listener has a local address");
        let state = Arc::new(BackendState {
            work_us: AtomicU64::new(MEAN_WORK.as_micros() as u64),
            respond_500: AtomicBool::new(false),
            calls: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            connections_total: AtomicUsize::new(0),
            in_progress: AtomicUsize::new(0),
            by_group: Default::default(),
            interval_calls: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        });
        let shared = state.clone();
        let serving = tokio::spawn(async move {
            // Connections end with the listener.
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                while connections.try_join_next().is_some() {}
                let _ = stream.set_nodelay(true);
                let state = shared.clone();
                connections.spawn(async move {
                    state.open_connections.fetch_add(1, SeqCst);
                    state.connections_total.fetch_add(1, SeqCst);
                    let _open = DecrementOnDrop(&state.open_connections);
                    let service = service_fn(|request| respond(&state, request));
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        })
        .abort_handle();
        Backend { name, addr, state, born_ms, serving }
    }

    /// Returns the list entry of this backend.
    pub fn endpoint_entry(&self, health: &str) -> Value {
        json!({"host": self.name, "dial": self.addr.to_string(), "site": "local", "class": "m", "block": 1,
            "health": health, "share": 1.0, "born_ms": self.born_ms})
    }

    /// Returns the number of calls received.
    pub fn calls(&self) -> usize {
        self.state.calls.load(SeqCst)
    }

    /// Resets the call counters.
    pub fn reset_counts(&self) {
        self.state.calls.store(0, SeqCst);
        self.state.by_group.iter().for_each(|calls| calls.store(0, SeqCst));
        self.state.interval_calls.lock().expect("lock is not poisoned").clear();
    }

    /// Sets the mean service time to a multiple of [`MEAN_WORK`].
    pub fn slow_down(&self, times: u64) {
        self.state.work_us.store(MEAN_WORK.as_micros() as u64 * times, SeqCst);
    }
}

async fn respond(
    state: &BackendState,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    state.calls.fetch_add(1, SeqCst);
    let group = request.uri().query().and_then(|q| q.strip_prefix("group=")?.parse::<usize>().ok());
    if let Some(calls) = group.and_then(|g| state.by_group.get(g)) {
        calls.fetch_add(1, SeqCst);
    }
    state.in_progress.fetch_add(1, SeqCst);
    let _in_progress = DecrementOnDrop(&state.in_progress);
    {
        let (mut intervals, now) =
            (state.interval_calls.lock().expect("lock is not poisoned"), current_interval());
        let length = intervals.len().max(now + 1);
        intervals.resize(length, 0);
        intervals[now] += 1;
    }
    let times: f64 = state.rng.lock().expect("lock is not poisoned").sample(Exp1);
    let mut reply = Response::new(Full::new(Bytes::from_static(b"done")));
    if state.respond_500.load(SeqCst) {
        *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    } else {
        tokio::time::sleep(Duration::from_micros(state.work_us.load(SeqCst)).mul_f64(times)).await;
    }
    Ok(reply)
}

/// Returns the number of the current interval.
pub fn current_interval() -> usize {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    (START.get_or_init(Instant::now).elapsed().as_millis() / COUNT_INTERVAL.as_millis()) as usize
}

/// Starts backends in one zone that are past their warm-up.
pub async fn start(count: usize, seed: u64) -> Vec<Backend> {
    let mut backends = Vec::new();
    for n in 0..count {
        backends.push(Backend::start(format!("b{n:02}"), seed * 1000 + n as u64, 0).await);
    }
    backends
}
