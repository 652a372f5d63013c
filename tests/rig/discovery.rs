//! TestDiscovery that tests change, silence and break off.

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

/// TestDiscovery with a list that tests change, and the version that the proxy is known to hold.
pub struct TestDiscovery {
    addr: SocketAddr,
    list: Arc<watch::Sender<(u64, Vec<Value>)>>,
    held: Arc<watch::Sender<u64>>,
    /// How often the watches of the time were told to fall silent.
    silenced: Arc<AtomicUsize>,
    /// So many of the next answers break off.
    cut: Arc<AtomicUsize>,
    /// The paths of all calls, with their queries.
    request_targets: Arc<Mutex<Vec<String>>>,
}

impl TestDiscovery {
    pub async fn start(hosts: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let list = Arc::new(watch::Sender::new((1, hosts)));
        let held = Arc::new(watch::Sender::new(0));
        let (silenced, cut) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let (lists, holds, silence, cuts) = (list.clone(), held.clone(), silenced.clone(), cut.clone());
        let request_targets: Arc<Mutex<Vec<String>>> = Arc::default();
        let paths = request_targets.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let (lists, holds, silence) = (lists.clone(), holds.clone(), silence.clone());
                let (cuts, paths) = (cuts.clone(), paths.clone());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (mut list, holds, silence) = (lists.subscribe(), holds.clone(), silence.clone());
                    let (before, cuts) = (silence.load(SeqCst), cuts.clone());
                    paths.lock().expect("sound").push(request.uri().to_string());
                    async move {
                        let after = request.uri().query().and_then(|q| q.strip_prefix("after="));
                        let after = after.and_then(|q| q.split('&').next()?.parse::<u64>().ok());
                        if let Some(after) = after {
                            holds.send_replace(after);
                            list.wait_for(|(seq, _)| *seq > after).await.map_err(io::Error::other)?;
                            if silence.load(SeqCst) > before {
                                std::future::pending::<()>().await;
                            }
                        }
                        let (seq, hosts) = list.borrow().clone();
                        let text = json!({"seq": seq, "whole": true, "hosts": hosts}).to_string();
                        if cuts.fetch_update(SeqCst, SeqCst, |n| n.checked_sub(1)).is_ok() {
                            return Ok(Response::new(BrokenBody::default().boxed()));
                        }
                        let whole = Full::new(Bytes::from(text)).map_err(|e| match e {});
                        Ok::<_, io::Error>(Response::new(whole.boxed()))
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        TestDiscovery { addr, list, held, silenced, cut, request_targets }
    }

    /// The configuration of a proxy that asks here.
    pub fn proxy_config(&self, settings: Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": self.addr.to_string(),
               "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
               "settings": settings})
    }

    /// Waits until the proxy holds the present list.
    pub async fn wait_until_synced(&self) {
        let now = self.list.borrow().0;
        within_deadline(self.held.subscribe().wait_for(|held| *held >= now)).await.expect("open");
    }

    /// The paths of all calls so far, with their queries.
    pub fn request_targets(&self) -> Vec<String> {
        self.request_targets.lock().expect("sound").clone()
    }

    /// The watches that wait now get no answer any more.
    pub fn stall_watches(&self) {
        self.silenced.fetch_add(1, SeqCst);
    }

    /// So many of the next answers end half-way.
    pub fn truncate_next_responses(&self, answers: usize) {
        self.cut.store(answers, SeqCst);
    }

    /// Changes the list and waits until the proxy holds it.
    pub async fn publish(&self, hosts: Vec<Value>) {
        self.list.send_modify(|(seq, list)| (*seq, *list) = (*seq + 1, hosts));
        self.wait_until_synced().await;
    }
}
