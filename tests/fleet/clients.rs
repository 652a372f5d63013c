//! Clients that send requests as a Poisson process, each to one proxy, and count the responses.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::Exp1;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

/// Request deadline of a client.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Initial period whose refused requests are also counted separately.
pub const EARLY_PERIOD: Duration = Duration::from_secs(1);

/// Counts of the responses to clients.
#[derive(Default)]
pub struct Tally {
    /// Group of these clients; backends count calls by group.
    pub group: usize,
    pub sent: AtomicUsize,
    pub served: AtomicUsize,
    /// Requests answered with 429 or 503.
    pub refused: AtomicUsize,
    /// Refused requests that were sent in the first [`EARLY_PERIOD`].
    pub refused_early: AtomicUsize,
    /// Requests with another status or no response.
    pub failed: AtomicUsize,
}

impl Tally {
    /// Returns the share of sent requests that a counter holds.
    pub fn share(&self, of: &AtomicUsize) -> f64 {
        of.load(SeqCst) as f64 / self.sent.load(SeqCst).max(1) as f64
    }
}

type Idle = Arc<Mutex<Vec<SendRequest<Empty<Bytes>>>>>;

/// Sends `rates[n]` requests per second to `proxies[n]` for `duration`, with arrivals drawn from the seed; returns once
/// all have a response or timed out.
pub async fn run(
    proxies: Vec<SocketAddr>,
    rates: Vec<f64>,
    seed: u64,
    duration: Duration,
    tally: Arc<Tally>,
) {
    let started = Instant::now();
    let mut clients = JoinSet::new();
    for (n, (proxy, rate)) in proxies.into_iter().zip(rates).enumerate() {
        let tally = tally.clone();
        clients.spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) + n as u64);
            let (mut next, mut calls, idle) = (started, JoinSet::new(), Idle::default());
            loop {
                next += Duration::from_secs_f64(rng.sample::<f64, _>(Exp1) / rate);
                if next >= started + duration {
                    break;
                }
                sleep_until(next).await;
                let (idle, tally, early) = (idle.clone(), tally.clone(), next < started + EARLY_PERIOD);
                calls.spawn(async move {
                    tally.sent.fetch_add(1, SeqCst);
                    let status =
                        timeout(CLIENT_TIMEOUT * 2, call(proxy, tally.group, &idle)).await.ok().flatten();
                    let count = match status {
                        Some(200) => &tally.served,
                        Some(429 | 503) => &tally.refused,
                        _ => &tally.failed,
                    };
                    count.fetch_add(1, SeqCst);
                    if early && matches!(status, Some(429 | 503)) {
                        tally.refused_early.fetch_add(1, SeqCst);
                    }
                });
                while calls.try_join_next().is_some() {}
            }
            calls.join_all().await;
        });
    }
    clients.join_all().await;
}

/// Sends one request and returns the response status, if any; keeps the connection for reuse.
async fn call(proxy: SocketAddr, group: usize, idle: &Idle) -> Option<u16> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let reusable =
        std::iter::from_fn(|| idle.lock().expect("lock is not poisoned").pop()).find(|s| !s.is_closed());
    let mut sender = match reusable {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(proxy).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            sender
        }
    };
    let request = Request::get(format!("/read?group={group}"))
        .header("host", "spread")
        .header("req-id", format!("{:016x}", NEXT.fetch_add(1, SeqCst)))
        .header("req-deadline-ms", CLIENT_TIMEOUT.as_millis().to_string())
        .body(Empty::new())
        .expect("valid request");
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    response.into_body().collect().await.ok()?;
    idle.lock().expect("lock is not poisoned").push(sender);
    Some(status)
}
