//! The list, the watch and registrations.

use super::Door;
use super::answer::{Answer, answer, body, ordered, refuse};
use super::query::{Watch, watch};
use crate::store::Entry;
use crate::writer::{Fence, Shared, Want};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
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

/// The list, or what changed after a version.
pub async fn read(query_text: &str, shared: &Shared) -> Answer {
    let Watch { after, wait, .. } = match watch(query_text, "the list", &[]) {
        Ok(asked) => asked,
        Err(why) => return refuse(StatusCode::BAD_REQUEST, why),
    };
    if let Some(after) = after {
        let mut newest = shared.newest.subscribe();
        if *newest.borrow_and_update() == after && !wait.is_zero() {
            // Nothing newer yet: wait for it, or for the end of the wait. The waiting is this future alone.
            let _ = timeout(wait, newest.wait_for(|seq| *seq > after)).await;
        }
    }
    let page = shared.pages.lock().unwrap_or_else(|p| p.into_inner()).get(&shared.state(), after);
    match page {
        Ok(body) => answer(StatusCode::OK, body),
        Err(e) => refuse(StatusCode::INTERNAL_SERVER_ERROR, e),
    }
}

/// Registers or renews.
pub async fn write(request: Request<Incoming>, door: &Door) -> Answer {
    let write: Write = match body(request, door).await {
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
    ordered(Want::Entries { entries: write.hosts, ttl, fence: write.fence }, &door.orders).await
}
