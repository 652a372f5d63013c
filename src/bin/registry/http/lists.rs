//! `/registry/instances`: the list of a service, watches of it, and registrations.

use super::answer::{HandlerResult, Rejection, encoded, encoding_failed};
use super::context::Context;
use super::query::{WatchQuery, parse_service, watch};
use super::request_body::RequestBody;
use super::write_reply::write_and_answer;
use crate::writer::{Fence, Shared, WriteOperation};
use hyper::Request;
use load_balancer::catalog::Entry;
use serde::Deserialize;
use std::time::Duration;
use tokio::time::timeout;

/// Minimum TTL of a registration, in milliseconds.
const MIN_TTL_MS: u64 = 100;
/// Maximum TTL of a registration, in milliseconds: one day.
const MAX_TTL_MS: u64 = 86_400_000;
/// Maximum number of entries in one write.
const MAX_ENTRIES: usize = 10_000;

/// The body of a registration. Its entries have the same form as in the list; each has to be renewed within the TTL.
#[derive(Deserialize)]
// The name "Write" is kept because it appears in errors answered to callers ("expected struct Write").
#[serde(rename = "Write", deny_unknown_fields)]
struct Registration {
    ttl_ms: u64,
    hosts: Vec<Entry>,
    /// Duty that the caller must hold: the write is rejected unless the token is that of the duty's current holder.
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

/// Handles GET: answers the list of a service, or its changes after a version. With `wait_ms` the call waits for a
/// change.
pub(super) async fn read_list(query: &str, shared: &Shared) -> HandlerResult {
    let service = parse_service(query).map_err(Rejection::bad_request)?;
    let WatchQuery { after, wait, .. } =
        watch(query, "the list", &["service"]).map_err(Rejection::bad_request)?;
    if let Some(after) = after.filter(|_| !wait.is_zero()) {
        // The watch starts before the version is read, so that no change in between is missed. It is part of this
        // future, so it ends when the caller's connection is dropped.
        let mut service_watch = shared.wakers.watch(&service);
        if shared.version(&service) == after {
            let _ = timeout(wait, service_watch.wait_for_newer_than(after)).await;
        }
    }
    shared.encoded_list(&service, after).map(encoded).map_err(encoding_failed)
}

/// Handles PUT: registers, renews or deletes entries.
pub(super) async fn write_entries(
    query: &str,
    request: Request<RequestBody>,
    context: &Context,
) -> HandlerResult {
    let service = parse_service(query).map_err(Rejection::bad_request)?;
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
