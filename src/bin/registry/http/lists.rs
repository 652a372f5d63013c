//! `/registry/instances`: the list of a service, watches on it, and registrations.

use super::answer::{HandlerResult, Rejection, encoded, encoding_failed};
use super::context::Context;
use super::query::{WatchQuery, service, watch};
use super::write_reply::write_and_answer;
use crate::writer::{Fence, Shared, WriteOperation};
use hyper::Request;
use hyper::body::Incoming;
use load_balancer::catalog::Entry;
use serde::Deserialize;
use std::time::Duration;
use tokio::time::timeout;

/// Shortest TTL of a registration, in milliseconds.
const MIN_TTL_MS: u64 = 100;
/// Longest TTL of a registration, in milliseconds: a day.
const MAX_TTL_MS: u64 = 86_400_000;
/// Most entries in one write.
const MAX_ENTRIES: usize = 10_000;

/// The body of a registration. Its entries have the form of the list's; each is to be renewed within the TTL.
#[derive(Deserialize)]
// "Write" is kept: it stands in error texts answered to callers ("expected struct Write").
#[serde(rename = "Write", deny_unknown_fields)]
struct Registration {
    ttl_ms: u64,
    hosts: Vec<Entry>,
    /// The duty in whose name the write is done: it is rejected unless the token is that of the present holder.
    fence: Option<Fence>,
}

impl Registration {
    fn check(&self) -> Result<(), Rejection> {
        if !(MIN_TTL_MS..=MAX_TTL_MS).contains(&self.ttl_ms) {
            return Err(Rejection::bad_request(format!("ttl_ms: from {MIN_TTL_MS} to {MAX_TTL_MS}")));
        }
        if self.hosts.len() > MAX_ENTRIES {
            return Err(Rejection::bad_request(format!(
                "hosts: at most {MAX_ENTRIES} in one write; send the others in a further one"
            )));
        }
        self.hosts.iter().try_for_each(Entry::check).map_err(Rejection::bad_request)
    }
}

/// GET: the list of a service, or what changed in it after a version. With `wait_ms` it waits until there is a change.
pub(super) async fn read_list(query: &str, shared: &Shared) -> HandlerResult {
    let service = service(query).map_err(Rejection::bad_request)?;
    let WatchQuery { after, wait, .. } =
        watch(query, "the list", &["service"]).map_err(Rejection::bad_request)?;
    if let Some(after) = after.filter(|_| !wait.is_zero()) {
        // Subscribed before the version is read, so that no change in between is missed. The watch is a part of this
        // future: it ends when the caller's connection is dropped.
        let mut service_watch = shared.wakers.wait(&service);
        if shared.version(&service) == after {
            let _ = timeout(wait, service_watch.newer_than(after)).await;
        }
    }
    shared.page(&service, after).map(encoded).map_err(encoding_failed)
}

/// PUT: registers, renews or deletes entries.
pub(super) async fn write_entries(
    query: &str,
    request: Request<Incoming>,
    context: &Context,
) -> HandlerResult {
    let service = service(query).map_err(Rejection::bad_request)?;
    let registration: Registration = context.write_bodies.json(request).await?;
    registration.check()?;
    let operation = WriteOperation::Entries {
        service,
        entries: registration.hosts,
        ttl: Duration::from_millis(registration.ttl_ms),
        fence: registration.fence,
    };
    write_and_answer(operation, &context.writes).await
}
