//! Discovery service whose list tests change and whose responses they stall or truncate.

use super::backend::BrokenBody;
use super::within_deadline;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Discovery service with a list that tests change; it tracks the version that the proxy has acknowledged.
pub struct TestDiscovery {
    addr: SocketAddr,
    list: Arc<watch::Sender<(u64, Vec<Value>)>>,
    acknowledged: Arc<watch::Sender<u64>>,
    /// Counts calls of `stall_watches`; a watch that began before the latest one is never answered.
    stalls: Arc<AtomicUsize>,
    /// Number of responses still to be truncated.
    truncations: Arc<AtomicUsize>,
    /// Paths and queries of all requests.
    request_targets: Arc<Mutex<Vec<String>>>,
}

impl TestDiscovery {
    pub async fn start(hosts: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds a loopback port");
        let addr = listener.local_addr().expect("listener has a local address");
        let list = Arc::new(watch::Sender::new((1, hosts)));
        let acknowledged = Arc::new(watch::Sender::new(0));
        let (stalls, truncations) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (lists, versions, stall_count, truncate) =
            (list.clone(), acknowledged.clone(), stalls.clone(), truncations.clone());
        let request_targets: Arc<Mutex<Vec<String>>> = Arc::default();
        let paths = request_targets.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accepts a connection");
                let (lists, versions, stall_count) = (lists.clone(), versions.clone(), stall_count.clone());
                let (truncate, paths) = (truncate.clone(), paths.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (mut list, versions, stall_count) =
                        (lists.subscribe(), versions.clone(), stall_count.clone());
                    let (before, truncate) = (stall_count.load(SeqCst), truncate.clone());
                    paths.lock().expect("lock is not poisoned").push(request.uri().to_string());
                    async move {
                        let after = request.uri().query().and_then(|q| q.strip_prefix("after="));
                        let after = after.and_then(|q| q.split('&').next()?.parse::<u64>().ok());
                        if let Some(after) = after {
                            versions.send_replace(after);
                            list.wait_for(|(seq, _)| *seq > after).await.map_err(io::Error::other)?;
                            if stall_count.load(SeqCst) > before {
                                std::future::pending::<()>().await;
                            }
                        }
                        let (seq, hosts) = list.borrow().clone();
                        let text = json!({"seq": seq, "whole": true, "hosts": hosts}).to_string();
                        if truncate.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).is_ok() {
                            return Ok(Response::new(BrokenBody::default().boxed()));
                        }
                        let whole = Full::new(Bytes::from(text)).map_err(|e| match e {});
                        Ok::<_, io::Error>(Response::new(whole.boxed()))
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        TestDiscovery { addr, list, acknowledged, stalls, truncations, request_targets }
    }

    /// Returns the configuration of a proxy that uses this service.
    pub fn proxy_config(&self, settings: Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": self.addr.to_string(),
               "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
               "settings": settings})
    }

    /// Waits until the proxy watches from the current version.
    pub async fn wait_until_synced(&self) {
        let now = self.list.borrow().0;
        within_deadline(self.acknowledged.subscribe().wait_for(|acknowledged| *acknowledged >= now))
            .await
            .expect("watch sender is alive");
    }

    /// Returns the paths and queries of all requests so far.
    pub fn request_targets(&self) -> Vec<String> {
        self.request_targets.lock().expect("lock is not poisoned").clone()
    }

    /// Leaves the watches that are open now without a response.
    pub fn stall_watches(&self) {
        self.stalls.fetch_add(1, SeqCst);
    }

    /// Closes the connection in the middle of the next `count` responses.
    pub fn truncate_next_responses(&self, count: usize) {
        self.truncations.store(count, SeqCst);
    }

    /// Replaces the list and waits until the proxy has it.
    pub async fn publish(&self, hosts: Vec<Value>) {
        self.list.send_modify(|(seq, list)| (*seq, *list) = (*seq + 1, hosts));
        self.wait_until_synced().await;
    }
}
