//! Clients that send by a Poisson process, each to one proxy, and count what comes back.

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

/// A client waits so long.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Answers of this much of the beginning are told apart.
pub const EARLY_PERIOD: Duration = Duration::from_secs(1);

/// What clients got.
#[derive(Default)]
pub struct Tally {
    /// The group that these clients are of; backends count each for itself.
    pub group: usize,
    pub sent: AtomicUsize,
    pub served: AtomicUsize,
    /// Answered 429 or 503.
    pub refused: AtomicUsize,
    /// Of them, sent in the beginning.
    pub refused_early: AtomicUsize,
    /// Any other answer, or none.
    pub failed: AtomicUsize,
}

impl Tally {
    pub fn share(&self, of: &AtomicUsize) -> f64 {
        of.load(SeqCst) as f64 / self.sent.load(SeqCst).max(1) as f64
    }
}

type Idle = Arc<Mutex<Vec<SendRequest<Empty<Bytes>>>>>;

/// Sends `rates[n]` requests a second to `proxies[n]` for a time, all arrivals drawn from the seed; returns once all
/// are answered or given up.
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

/// The answer's status, if one comes; the connection is kept for the next.
async fn call(proxy: SocketAddr, group: usize, idle: &Idle) -> Option<u16> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let kept = std::iter::from_fn(|| idle.lock().expect("sound").pop()).find(|s| !s.is_closed());
    let mut sender = match kept {
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
        .expect("well formed");
    sender.ready().await.ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    answer.into_body().collect().await.ok()?;
    idle.lock().expect("sound").push(sender);
    Some(status)
}
