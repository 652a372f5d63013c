//! The agent beside a backend: registers it and renews the registration, as an operator's supervisor would.

use super::order::ProxyPlan;
use super::plan::instances;
use bytes::Bytes;
use hyper::Method;
use load_balancer::client::backoff::{Backoff, BackoffBounds};
use load_balancer::client::registry::{Call, call};
use load_balancer::client::traffic::{Traffic, TrafficKind};
use serde_json::json;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// Delays after a failed registration.
const BACKOFF_BOUNDS: BackoffBounds =
    BackoffBounds { min: Duration::from_millis(100), max: Duration::from_secs(5) };
/// Longest answer.
const MAX_ANSWER: usize = 64 << 10;
/// A registry that takes longer is asked again.
const WAIT: Duration = Duration::from_secs(1);
/// Time after the wait within which the answer must arrive.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// A running agent; it ends, with nothing said to anybody, when this is dropped.
pub struct Agent(JoinHandle<()>);

impl Agent {
    /// Starts one.
    pub fn start(plan: ProxyPlan, traffic: Traffic) -> Agent {
        Agent(spawn_local(keep(plan, traffic)))
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Registers for ever, as often as the client of the membership does: after a quarter of the TTL and up to a sixth
/// more, each time on a connection of its own.
async fn keep(plan: ProxyPlan, traffic: Traffic) {
    let ttl = Duration::from_millis(plan.ttl_ms);
    let body = Bytes::from(json!({"ttl_ms": plan.ttl_ms, "hosts": [plan.entry]}).to_string());
    let path = instances(plan.service.as_deref());
    let mut backoff = Backoff::new(BACKOFF_BOUNDS);
    if !plan.fresh {
        sleep(ttl.mul_f64(fastrand::f64() / 4.0)).await;
    }
    loop {
        let put = Call {
            kind: TrafficKind::Registration,
            method: Method::PUT,
            path: &path,
            body: body.clone(),
            wait: WAIT,
            max_answer: MAX_ANSWER,
        };
        let pause = match call(&mut None, plan.agent_registry, put, ANSWER_LIMIT, &traffic).await {
            Ok(_) => {
                backoff.reset();
                ttl.mul_f64(0.25 + fastrand::f64() / 6.0)
            }
            Err(_) => backoff.next_delay(),
        };
        sleep(pause).await;
    }
}
