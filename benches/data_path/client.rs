//! An open-loop client: calls go out at times fixed beforehand, and latency counts from those.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

const PATIENCE: Duration = Duration::from_secs(2);

/// What came back, and after how long.
pub struct Latency {
    pub served: usize,
    pub failed: usize,
    histogram: Histogram<u64>,
}

impl Latency {
    pub fn p50(&self) -> f64 {
        self.quantile(0.5)
    }
    pub fn p99(&self) -> f64 {
        self.quantile(0.99)
    }
    fn quantile(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1000.0
    }
}

type Idle = Arc<Mutex<Vec<SendRequest<Empty<Bytes>>>>>;

/// Sends at an even rate for a time; returns once all are answered or given up.
pub async fn run(to: SocketAddr, rate: u32, lasts: Duration) -> Latency {
    let (begun, idle, mut calls) = (Instant::now(), Idle::default(), JoinSet::new());
    for n in 0..lasts.as_secs() as u32 * rate {
        let due = begun + Duration::from_secs_f64(f64::from(n) / f64::from(rate));
        sleep_until(due).await;
        let idle = idle.clone();
        calls.spawn(async move {
            let served = timeout(PATIENCE, call(to, &idle)).await.ok().flatten() == Some(200);
            (served, due.elapsed())
        });
    }
    let histogram = Histogram::new(3).expect("three digits are allowed");
    let mut latency = Latency { served: 0, failed: 0, histogram };
    for (served, took) in calls.join_all().await {
        latency.served += usize::from(served);
        latency.failed += usize::from(!served);
        if served {
            latency.histogram.record(took.as_micros() as u64).expect("it grows");
        }
    }
    latency
}

/// The answer's status, if one comes; the connection is kept for the next.
async fn call(to: SocketAddr, idle: &Idle) -> Option<u16> {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let kept = std::iter::from_fn(|| idle.lock().expect("sound").pop()).find(|s| !s.is_closed());
    let mut sender = match kept {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(to).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
            tokio::spawn(connection);
            sender
        }
    };
    let request = Request::get("/read")
        .header("host", "bench")
        .header("req-id", format!("{:016x}", NEXT.fetch_add(1, SeqCst)))
        .header("req-deadline-ms", PATIENCE.as_millis().to_string())
        .body(Empty::new())
        .expect("well formed");
    sender.ready().await.ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    answer.into_body().collect().await.ok()?;
    idle.lock().expect("sound").push(sender);
    Some(status)
}
