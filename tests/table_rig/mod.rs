//! A registry of the tests' own, of which a proxy gets whatever table it is told to give, sound or not, and that keeps
//! what proxies send.
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

/// A watch waits no longer here, whatever it asks for.
const WAIT: Duration = Duration::from_millis(500);

/// What it is told to give, and what came.
pub struct Tables {
    pub address: SocketAddr,
    kept: Arc<Kept>,
}

#[derive(Default)]
struct Kept {
    page: watch::Sender<String>,
    given: Mutex<String>,
    asked: watch::Sender<Vec<String>>,
    reports: watch::Sender<Vec<Value>>,
    segments: watch::Sender<Vec<Bytes>>,
}

impl Tables {
    pub async fn start(page: &Value) -> Tables {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let kept = Arc::new(Kept::default());
        kept.page.send_replace(page.to_string());
        let all = kept.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let kept = all.clone();
                let service = service_fn(move |request| answer(kept.clone(), request));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        Tables { address, kept }
    }

    /// Gives this from now on.
    pub fn give(&self, page: impl ToString) {
        self.kept.page.send_replace(page.to_string());
    }

    /// The first report that is so, of those that have come or are to come.
    pub async fn report(&self, is: impl Fn(&Value) -> bool) -> Value {
        let mut reports = self.kept.reports.subscribe();
        let all = within_deadline(reports.wait_for(|all| all.iter().any(&is))).await.expect("open");
        all.iter().find(|report| is(report)).cloned().expect("it is there")
    }

    /// All reports so far.
    pub fn reports(&self) -> Vec<Value> {
        self.kept.reports.borrow().clone()
    }

    /// The segments, once there are so many.
    pub async fn segments(&self, n: usize) -> Vec<Bytes> {
        within_deadline(self.kept.segments.subscribe().wait_for(|all| all.len() >= n))
            .await
            .expect("open")
            .clone()
    }

    /// What was asked for, by path and query.
    pub fn asked(&self) -> Vec<String> {
        self.kept.asked.borrow().clone()
    }
}

async fn answer(kept: Arc<Kept>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().to_string();
    if path.starts_with("/registry/routes") {
        kept.asked.send_modify(|all| all.push(path.clone()));
        let mut page = kept.page.subscribe();
        if path.contains("after=") {
            let given = kept.given.lock().expect("sound").clone();
            let _ = timeout(WAIT, page.wait_for(|page| *page != given)).await;
        }
        let page = page.borrow().clone();
        kept.given.lock().expect("sound").clone_from(&page);
        return Ok(Response::new(Full::new(page.into())));
    }
    let Ok(body) = request.into_body().collect().await else { return Ok(Response::default()) };
    match path.as_str() {
        "/registry/reports" => {
            let report = serde_json::from_slice(&body.to_bytes()).expect("a report is JSON");
            kept.reports.send_modify(|all| all.push(report));
        }
        _ => kept.segments.send_modify(|all| all.push(body.to_bytes())),
    }
    Ok(Response::default())
}

/// A sound table.
pub fn table(revision: u64, weights: &[(&str, f64)]) -> Value {
    let backends = weights.iter().map(|(name, weight)| (name.to_string(), *weight)).collect();
    let weights = Weights { backends, ..Weights::default() };
    json!({"revision": revision, "digest": weights.digest(), "weights": weights, "newest": revision})
}
