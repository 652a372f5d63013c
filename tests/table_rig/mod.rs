//! A stub registry that serves any page as the route table, valid or not, and keeps the reports and segments that
//! proxies send.
#![allow(dead_code)]

use crate::waits::within_deadline;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use load_balancer::route_table::Weights;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// Longest wait of a watch, whatever wait it requests.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// A stub registry and what it has received.
pub struct StubRegistry {
    pub address: SocketAddr,
    state: Arc<StubState>,
}

#[derive(Default)]
struct StubState {
    /// Page that is served as the route table.
    page: watch::Sender<String>,
    /// Page that was served last.
    served: Mutex<String>,
    /// Paths and queries of the requests for the route table.
    table_requests: watch::Sender<Vec<String>>,
    reports: watch::Sender<Vec<Value>>,
    segments: watch::Sender<Vec<Bytes>>,
}

impl StubRegistry {
    pub async fn start(page: &Value) -> StubRegistry {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        let state = Arc::new(StubState::default());
        state.page.send_replace(page.to_string());
        let server_state = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = server_state.clone();
                let service = service_fn(move |request| answer(state.clone(), request));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        StubRegistry { address, state }
    }

    /// Serves another page from now on.
    pub fn serve(&self, page: impl ToString) {
        self.state.page.send_replace(page.to_string());
    }

    /// Waits for a report that fulfils a condition, and returns the first one.
    pub async fn wait_for_report(&self, condition: impl Fn(&Value) -> bool) -> Value {
        let mut reports = self.state.reports.subscribe();
        let all = within_deadline(reports.wait_for(|all| all.iter().any(&condition)))
            .await
            .expect("the channel is open");
        all.iter().find(|report| condition(report)).cloned().expect("a report fulfils the condition")
    }

    /// All reports so far.
    pub fn reports(&self) -> Vec<Value> {
        self.state.reports.borrow().clone()
    }

    /// Waits until at least `count` segments have arrived, and returns all of them.
    pub async fn wait_for_segments(&self, count: usize) -> Vec<Bytes> {
        let mut segments = self.state.segments.subscribe();
        within_deadline(segments.wait_for(|all| all.len() >= count))
            .await
            .expect("the channel is open")
            .clone()
    }

    /// Paths and queries of the requests for the route table so far.
    pub fn table_requests(&self) -> Vec<String> {
        self.state.table_requests.borrow().clone()
    }
}

async fn answer(
    state: Arc<StubState>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().to_string();
    if path.starts_with("/registry/routes") {
        state.table_requests.send_modify(|all| all.push(path.clone()));
        let mut page = state.page.subscribe();
        if path.contains("after=") {
            let served = state.served.lock().expect("the lock is not poisoned").clone();
            let _ = timeout(MAX_WAIT, page.wait_for(|page| *page != served)).await;
        }
        let page = page.borrow().clone();
        state.served.lock().expect("the lock is not poisoned").clone_from(&page);
        return Ok(Response::new(Full::new(page.into())));
    }
    let Ok(body) = request.into_body().collect().await else { return Ok(Response::default()) };
    match path.as_str() {
        "/registry/reports" => {
            let report = serde_json::from_slice(&body.to_bytes()).expect("a report is JSON");
            state.reports.send_modify(|all| all.push(report));
        }
        _ => state.segments.send_modify(|all| all.push(body.to_bytes())),
    }
    Ok(Response::default())
}

/// A valid page of a table with weights by backend.
pub fn table_page(revision: u64, weights: &[(&str, f64)]) -> Value {
    let backends = weights.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    let weights = Weights { backends, ..Weights::default() };
    json!({"revision": revision, "digest": weights.digest(), "weights": weights, "newest": revision})
}
