//! Where members find each other without seeds: a registry that lists the tier's proxies, as it lists backends
//! elsewhere. This process registers there, renews in time, and asks whom it finds to be taken in.

use super::Membership;
use super::seek::SEEK;
use crate::client::backoff::Backoff;
use crate::client::list::{Health, ListPage};
use crate::client::registry::{self, Call, CallError};
use crate::client::traffic::TrafficKind;
use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// A registration lives for so long without renewal.
const TTL: Duration = Duration::from_secs(30);
/// A registry that takes longer is left for the next one.
const PATIENCE: Duration = Duration::from_secs(2);
/// Longest list, in bytes: 33,500 proxies with the longest names and zones, 64,500 with short ones (computed). Each is
/// held for the time of one answer.
const MAX_LIST: usize = 8 << 20;
const PATH: &str = "/registry/instances";

/// Registers and reads for ever, at the first registry that answers.
pub async fn keep(membership: Rc<Membership>, registries: Vec<SocketAddr>) {
    let (mut at, mut pauses, mut failing) = (0, Backoff::new(SEEK), false);
    loop {
        let registry = registries[at];
        let exchange = async {
            register(&membership, registry, "SERVING").await?;
            call(&membership, registry, Method::GET, Bytes::new()).await
        };
        let answer = timeout(PATIENCE, exchange).await.unwrap_or(Err(CallError::TimedOut));
        let page = answer.and_then(|text| Ok(serde_json::from_slice::<ListPage>(&text)?));
        let pause = match page {
            Ok(page) => {
                let hosts = page.into_entries().entries;
                let serving = hosts.into_iter().filter(|h| h.health == Health::Serving);
                membership.set_listed_members(serving.filter_map(|h| h.address).collect());
                pauses.reset();
                failing = false;
                // A third of the TTL, so that two renewals may fail; by chance, so that they do not come together.
                TTL.mul_f64(0.25 + fastrand::f64() / 6.0)
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!("membership: registry {registry}: {e}");
                }
                at = (at + 1) % registries.len();
                pauses.next_delay()
            }
        };
        sleep(pause).await;
    }
}

/// Takes this process off the list, if a registry answers.
pub async fn leave(membership: Rc<Membership>, registries: Vec<SocketAddr>) {
    for registry in registries {
        if let Ok(Ok(())) = timeout(PATIENCE, register(&membership, registry, "DELETED")).await {
            return;
        }
    }
}

async fn register(membership: &Membership, registry: SocketAddr, health: &str) -> Result<(), CallError> {
    let entry = {
        let swim = membership.swim.borrow();
        let id = swim.id();
        json!({"host": id.name, "dial": id.addr, "site": id.zone, "class": "proxy", "health": health})
    };
    let body = json!({"ttl_ms": TTL.as_millis() as u64, "hosts": [entry]}).to_string();
    call(membership, registry, Method::PUT, body.into()).await.map(drop)
}

/// On a connection of its own: the next call is seconds away.
async fn call(
    membership: &Membership,
    registry: SocketAddr,
    method: Method,
    body: Bytes,
) -> Result<Bytes, CallError> {
    let kind = TrafficKind::Registration;
    let asked = Call { kind, method, path: PATH, body, wait: PATIENCE, max_answer: MAX_LIST };
    registry::call(&mut None, registry, asked, &membership.control_traffic).await
}
