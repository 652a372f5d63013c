//! The list, the watch and registrations.

use super::answer::{Answer, answer, body, refuse};
use super::context::Context;
use super::query::{QueryError, Watch, service, watch};
use super::write_reply::write_and_answer;
use crate::writer::{Fence, Shared, WriteOperation};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use load_balancer::catalog::{Entry, ServiceName};
use serde::Deserialize;
use std::time::Duration;
use tokio::time::timeout;

/// Shortest and longest TTL of a registration.
pub const TTL_MS: (u64, u64) = (100, 86_400_000);
/// At most so many entries in one write.
const MAX_ENTRIES: usize = 10_000;

/// A registration: the same entries as the list, each to be renewed within its TTL.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Write {
    ttl_ms: u64,
    hosts: Vec<Entry>,
    /// Where the write is done for a duty: it is refused unless the token is that of the present holder.
    fence: Option<Fence>,
}

/// The list of a service, or what changed in it after a version.
pub async fn read(query: &str, shared: &Shared) -> Answer {
    let (service, Watch { after, wait, .. }) = match asked(query) {
        Ok(asked) => asked,
        Err(why) => return refuse(StatusCode::BAD_REQUEST, why),
    };
    if let Some(after) = after.filter(|_| !wait.is_zero()) {
        let mut waiting = shared.wakers.wait(&service);
        // Nothing newer yet: wait for it, or for the end of the wait. The waiting is this future alone.
        if shared.version(&service) == after {
            let _ = timeout(wait, waiting.newer_than(after)).await;
        }
    }
    match shared.page(&service, after) {
        Ok(body) => answer(StatusCode::OK, body),
        Err(e) => refuse(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

fn asked(query: &str) -> Result<(ServiceName, Watch), QueryError> {
    Ok((service(query)?, watch(query, "the list", &["service"])?))
}

/// Registers or renews.
pub async fn write(query: &str, request: Request<Incoming>, context: &Context) -> Answer {
    let service = match service(query) {
        Ok(service) => service,
        Err(why) => return refuse(StatusCode::BAD_REQUEST, why),
    };
    let write: Write = match body(request, context).await {
        Ok(write) => write,
        Err(refusal) => return refusal,
    };
    if !(TTL_MS.0..=TTL_MS.1).contains(&write.ttl_ms) {
        return refuse(StatusCode::BAD_REQUEST, format!("ttl_ms: from {} to {}", TTL_MS.0, TTL_MS.1));
    }
    if write.hosts.len() > MAX_ENTRIES {
        return refuse(
            StatusCode::BAD_REQUEST,
            format!("hosts: at most {MAX_ENTRIES} in one write; send the others in a further one"),
        );
    }
    if let Err(why) = write.hosts.iter().try_for_each(Entry::check) {
        return refuse(StatusCode::BAD_REQUEST, why);
    }
    let ttl = Duration::from_millis(write.ttl_ms);
    write_and_answer(
        WriteOperation::Entries { service, entries: write.hosts, ttl, fence: write.fence },
        &context.writes,
    )
    .await
}
