//! A proxy under measurement, with its registry and backends.

use crate::client::{self, Latency};
use crate::fleet::processes::{self, Process};
use crate::processor;
use crate::registry_rig::{Registry, data_dir};
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// All backends share so many addresses.
const ADDRESSES: usize = 4;
/// Entries of one registration.
const BATCH: usize = 1000;
const TTL_MS: u64 = 3_600_000;
/// The first housekeepings and connections are not measured.
const SETTLE: Duration = Duration::from_secs(1);
const CHANGES: u32 = 40;
/// Far enough apart that each change is told by itself.
const BETWEEN_CHANGES: Duration = Duration::from_millis(50);

/// The proxy and what stands around it.
pub struct Under {
    proxy: Process,
    registry: Registry,
    direct: SocketAddr,
}

/// A backend that answers at once.
async fn backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer)));
        }
    });
    address
}

async fn answer(_: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    Ok(Response::new(Full::new(Bytes::from_static(b"done"))))
}

fn line(n: usize, dial: SocketAddr, share: f64) -> Value {
    json!({"host": format!("backend-{n}"), "dial": dial.to_string(), "site": "local", "class": "m", "block": 1,
        "health": "SERVING", "share": share, "born_ms": 0})
}

impl Under {
    /// Starts all of it and waits until the proxy serves.
    pub async fn start(program: &Path, backends: u32, copies: u32) -> Under {
        let registry = Registry::start(&data_dir("bench-data-path"), &["--sync", "group"]).await;
        let mut addresses = Vec::new();
        for _ in 0..ADDRESSES {
            addresses.push(backend().await);
        }
        let lines: Vec<Value> =
            (0..backends as usize).map(|n| line(n, addresses[n % ADDRESSES], 1.0)).collect();
        for batch in lines.chunks(BATCH) {
            registry.put(TTL_MS, batch.to_vec()).await;
        }
        let config = processes::config(0, copies as usize, registry.address, 1);
        let proxy = processes::start(program, vec![config]).await.remove(0);
        sleep(SETTLE).await;
        Under { proxy, registry, direct: addresses[0] }
    }

    fn processor(&self) -> Duration {
        processor::of_process(self.proxy.pid().expect("it runs"))
    }

    /// The share of a core that it takes with nothing to do.
    pub async fn idle(&self, lasts: Duration) -> f64 {
        let (before, begun) = (self.processor(), Instant::now());
        sleep(lasts).await;
        (self.processor() - before).as_secs_f64() / begun.elapsed().as_secs_f64()
    }

    /// Processor time of one changed entry, in ms, without what idleness takes.
    pub async fn change(&self, idle: f64) -> f64 {
        let (before, begun) = (self.processor(), Instant::now());
        for n in 0..CHANGES {
            // A share that differs from the one before, or it would be a renewal and no change.
            let share = 1.0 + f64::from(n % 2 + 1) / 1000.0;
            self.registry.put(TTL_MS, vec![line(0, self.direct, share)]).await;
            sleep(BETWEEN_CHANGES).await;
        }
        let spent = (self.processor() - before).as_secs_f64() - idle * begun.elapsed().as_secs_f64();
        1000.0 * spent / f64::from(CHANGES)
    }

    /// Calls at a rate through the proxy and, beside them, directly to a backend.
    pub async fn calls(&self, rate: u32, lasts: Duration, idle: f64) -> Value {
        let warm_up = client::run(self.proxy.addr, rate, SETTLE);
        tokio::join!(warm_up, client::run(self.direct, rate, SETTLE));
        let (before, begun) = (self.processor(), Instant::now());
        let through = client::run(self.proxy.addr, rate, lasts);
        let (through, direct) = tokio::join!(through, client::run(self.direct, rate, lasts));
        let spent = (self.processor() - before).as_secs_f64();
        let served = through.served.max(1) as f64;
        let all = 1000.0 * spent / served;
        let own = 1000.0 * (spent - idle * begun.elapsed().as_secs_f64()) / served;
        let added = |of: fn(&Latency) -> f64| of(&through) - of(&direct);
        json!({"rate": rate, "served": through.served, "failed": through.failed,
               "cpu_ms_per_call": all, "cpu_ms_per_call_without_idle": own,
               "p50_ms": through.p50(), "p99_ms": through.p99(),
               "direct_p50_ms": direct.p50(), "direct_p99_ms": direct.p99(),
               "added_p50_ms": added(Latency::p50), "added_p99_ms": added(Latency::p99)})
    }
}
