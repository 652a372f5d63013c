//! Registration of this process with a registry, through which members find each other without configured seeds.
//!
//! Such a registry lists the tier's proxies as other registries list backends. One task registers this process, renews
//! the registration well within its TTL, and passes the listed proxies to the seeding. It owns the registry in use and
//! the backoff between failed calls.

use super::Membership;
use super::seeding::SEEDING_BACKOFF;
use crate::client::backoff::Backoff;
use crate::client::list::{Health, ListPage};
use crate::client::registry::{Call, CallError, RegistryClient};
use crate::client::traffic::TrafficKind;
use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Time to live of a registration that is not renewed.
const TTL: Duration = Duration::from_secs(30);
/// Time limit of a deregistration, after which the next registry is called: the process is about to end.
const DEREGISTRATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest accepted list, in bytes: 33,500 proxies with the longest names and zones, 64,500 with short ones (computed).
/// A list is in memory only while it is parsed.
const MAX_LIST_BYTES: usize = 8 << 20;
/// Path of the registry's endpoint lists.
const PATH: &str = "/registry/instances";

/// Registers this process and reads the tier's proxies repeatedly, for ever, at the first registry that answers.
pub(super) async fn run_registration(membership: Rc<Membership>, registries: Vec<SocketAddr>) {
    let mut current = 0;
    let mut backoff = Backoff::new(SEEDING_BACKOFF);
    let mut is_failing = false;
    let mut client = RegistryClient::new(membership.control_traffic.clone());
    loop {
        let registry = registries[current];
        let delay = match register_and_read(&membership, &mut client, registry).await {
            Ok(proxies) => {
                membership.set_listed_members(proxies);
                backoff.reset();
                is_failing = false;
                renewal_delay()
            }
            Err(error) => {
                if !is_failing {
                    warn!("membership: registration with {registry} failed: {error}; retrying");
                }
                is_failing = true;
                current = (current + 1) % registries.len();
                backoff.next_delay()
            }
        };
        // The next call is seconds away.
        client.disconnect();
        sleep(delay).await;
    }
}

/// Deletes this process's registration at the first registry that answers.
pub(super) async fn deregister(membership: Rc<Membership>, registries: Vec<SocketAddr>) {
    let mut client = RegistryClient::new(membership.control_traffic.clone());
    for registry in registries {
        let deregistration = register(&membership, &mut client, registry, "DELETED");
        if let Ok(Ok(())) = timeout(DEREGISTRATION_TIMEOUT, deregistration).await {
            return;
        }
    }
}

/// Returns a random delay before the next renewal: from 1/4 to 5/12 of the TTL, so that two renewals in a row may fail
/// and the proxies' renewals are spread over time.
fn renewal_delay() -> Duration {
    TTL.mul_f64(0.25 + fastrand::f64() / 6.0)
}

/// Registers this process, then reads the addresses of the serving proxies.
async fn register_and_read(
    membership: &Membership,
    client: &mut RegistryClient,
    registry: SocketAddr,
) -> Result<Vec<SocketAddr>, CallError> {
    register(membership, client, registry, "SERVING").await?;
    let answer = client.call_idempotent(registry, instances_call(Method::GET, Bytes::new())).await?;
    let page = serde_json::from_slice::<ListPage>(&answer)?;
    let entries = page.into_entries().entries;
    let serving = entries.into_iter().filter(|entry| entry.health == Health::Serving);
    Ok(serving.filter_map(|entry| entry.address).collect())
}

async fn register(
    membership: &Membership,
    client: &mut RegistryClient,
    registry: SocketAddr,
    health: &str,
) -> Result<(), CallError> {
    let entry = {
        let swim = membership.swim.borrow();
        let id = swim.id();
        json!({"host": id.name, "dial": id.addr, "site": id.zone, "class": "proxy", "health": health})
    };
    let body = json!({"ttl_ms": TTL.as_millis() as u64, "hosts": [entry]}).to_string();
    client.call_idempotent(registry, instances_call(Method::PUT, body.into())).await.map(drop)
}

fn instances_call(method: Method, body: Bytes) -> Call<'static> {
    Call {
        kind: TrafficKind::Registration,
        method,
        path: PATH,
        body,
        wait: Duration::ZERO,
        max_answer: MAX_LIST_BYTES,
    }
}
