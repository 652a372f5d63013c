//! One call for the endpoint list: its path, its limits and its parsed answer.

use super::calls_in_flight::{ListAnswer, ListRequest, PendingCall};
use crate::catalog::ServiceName;
use crate::client::registry::{Call, CallError, Connection, call};
use crate::client::traffic::{Traffic, TrafficKind};
use bytes::Bytes;
use hyper::Method;
use std::time::Duration;

/// Path of the registry's endpoint lists.
const PATH: &str = "/registry/instances";
/// Longest accepted list, in bytes: 59,000 backends with names of 20 bytes, or 9,300 with the longest names, zones and
/// classes (computed). A longer list would occupy a large part of a proxy's memory while it is parsed.
const MAX_LIST_BYTES: usize = 8 << 20;
/// Time after a call's wait at which the call ends, whatever became of its poll.
const CALL_TIME_LIMIT: Duration = Duration::from_secs(16);

/// Creates a call for the list of a service, over `connection` if there is one.
pub(super) fn list_call(
    request: ListRequest,
    service: Option<&ServiceName>,
    traffic: Traffic,
    mut connection: Option<Connection>,
) -> PendingCall {
    let path = path(request.after, request.wait, service);
    PendingCall::new(request, async move {
        let body = call_for_list(&mut connection, request, &path, &traffic).await?;
        Ok(ListAnswer { page: serde_json::from_slice(&body)?, connection })
    })
}

async fn call_for_list(
    connection: &mut Option<Connection>,
    request: ListRequest,
    path: &str,
    traffic: &Traffic,
) -> Result<Bytes, CallError> {
    let parameters = Call {
        kind: if request.after.is_none() { TrafficKind::FullList } else { TrafficKind::ListWatch },
        method: Method::GET,
        path,
        body: Bytes::new(),
        wait: request.wait,
        max_answer: MAX_LIST_BYTES,
    };
    call(connection, request.registry, parameters, CALL_TIME_LIMIT, traffic).await
}

/// Returns the path and query of a call. Without a service they have the form that predates services, which registries
/// of earlier versions understand.
fn path(after: Option<u64>, wait: Duration, service: Option<&ServiceName>) -> String {
    let mut query = Vec::new();
    if let Some(version) = after {
        // A registry may treat a wait of 0 as an absent parameter and apply its default wait.
        query.push(format!("after={version}&wait_ms={}", wait.as_millis().max(1)));
    }
    if let Some(service) = service {
        query.push(format!("service={service}"));
    }
    match query.is_empty() {
        true => PATH.to_string(),
        false => format!("{PATH}?{}", query.join("&")),
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/list_call.rs"]
mod tests;
