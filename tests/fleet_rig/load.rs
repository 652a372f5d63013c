//! Backends and clients of the fleet.

use crate::rig;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// A backend that serves `slots` calls concurrently, each for an exponential time; up to `capacity` calls are accepted
/// in total, where the others wait, and calls beyond that are declined.
#[derive(Clone)]
pub struct LimitedBackend {
    pub addr: SocketAddr,
    /// Calls received.
    pub calls: Arc<AtomicU64>,
    /// Percentage of calls that fail.
    pub failure_percent: Arc<AtomicU64>,
}

impl LimitedBackend {
    pub async fn start(mean: Duration, slots: usize, capacity: usize) -> LimitedBackend {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a loopback port");
        let addr = listener.local_addr().expect("listener has a local address");
        let backend = LimitedBackend { addr, calls: Arc::default(), failure_percent: Arc::default() };
        let (state, limits) = (backend.clone(), Arc::new((Semaphore::new(capacity), Semaphore::new(slots))));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (state, limits) = (state.clone(), limits.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (state, limits) = (state.clone(), limits.clone());
                    let work = mean.mul_f64(-(1.0 - fastrand::f64()).ln());
                    async move {
                        let _ = request.into_body().collect().await;
                        state.calls.fetch_add(1, Relaxed);
                        let mut reply = Response::new(Full::<bytes::Bytes>::default());
                        let Ok(_admitted) = limits.0.try_acquire() else {
                            *reply.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                            reply
                                .headers_mut()
                                .insert("srv-declined", "1".parse().expect("valid header value"));
                            return Ok(reply);
                        };
                        let slot = limits.1.acquire().await;
                        sleep(work).await;
                        drop(slot);
                        if fastrand::u64(..100) < state.failure_percent.load(Relaxed) {
                            *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                        }
                        Ok::<_, Infallible>(reply)
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        backend
    }
}

/// Counts of client requests by response.
#[derive(Default)]
pub struct ResponseCounts {
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

impl ResponseCounts {
    pub fn total(&self) -> u64 {
        self.served.load(Relaxed) + self.refused.load(Relaxed) + self.failed.load(Relaxed)
    }
}

/// Sends calls to a proxy with exponential pauses, whatever the responses, until its process has ended.
pub async fn run_client(
    to: SocketAddr,
    class: &'static str,
    pause: Duration,
    seed: u64,
    counts: Arc<ResponseCounts>,
) {
    let (mut rng, mut connection) = (fastrand::Rng::with_seed(seed), None);
    loop {
        sleep(pause.mul_f64(-(1.0 - rng.f64()).ln())).await;
        let mut sender = match connection.take() {
            Some(sender) => sender,
            None => match tokio::net::TcpStream::connect(to).await {
                Ok(_) => rig::connect(to).await,
                // The proxy process has ended.
                Err(_) => return,
            },
        };
        let request = rig::request(class).body(Full::default()).expect("valid request");
        let Ok(response) = sender.send_request(request).await else { continue };
        let count = match response.status().as_u16() {
            200 => &counts.served,
            503 => &counts.refused,
            _ => &counts.failed,
        };
        count.fetch_add(1, Relaxed);
        if response.into_body().collect().await.is_ok() && sender.ready().await.is_ok() {
            connection = Some(sender);
        }
    }
}
