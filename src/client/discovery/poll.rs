//! One poll of the endpoint list, with hedged calls while it is unanswered.
//!
//! A poll either requests the full list or watches for a change after the held version. The first call keeps its full
//! time limit; while its answer is late, further calls (hedges) are sent one after another, and the first complete
//! answer to any of them is used.

use super::Settings;
use super::schedule::HedgeSchedule;
use super::watch_state::WatchState;
use crate::catalog::ServiceName;
use crate::client::list::ListPage;
use crate::client::registry::{Call, CallError, Connection, call};
use crate::client::traffic::TrafficKind;
use bytes::Bytes;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Longest time that a registry holds a watch open before it answers without a change.
///
/// A watch that will never be answered is noticed only after this wait. A change must be in force 6 s after it was
/// made, so three unanswered watches in a row have to be noticed well within that time.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// Path of the registry's endpoint lists.
const PATH: &str = "/registry/instances";
/// Longest accepted list, in bytes: 59,000 backends with names of 20 bytes, or 9,300 with the longest names, zones and
/// classes (computed). A longer list would occupy a large part of a proxy's memory while it is parsed.
const MAX_LIST_BYTES: usize = 8 << 20;

/// Registry and parameters of one poll.
#[derive(Clone, Copy)]
struct PollRequest<'a> {
    address: SocketAddr,
    /// Version after which to watch for changes; `None` requests the full list.
    after: Option<u64>,
    settings: &'a Settings,
}

/// Parsed answer to a poll, and its connection if that can be kept.
struct PollAnswer {
    page: ListPage,
    connection: Option<Connection>,
}

/// Polls the full list if no version is held; otherwise watches from the held version, without a wait after a failure.
pub(super) async fn poll(
    connection: &mut Option<Connection>,
    state: &WatchState,
    settings: &Settings,
    hedges: &mut HedgeSchedule,
) -> Result<ListPage, CallError> {
    let request = PollRequest { address: state.address(), after: state.resume_version(), settings };
    let is_immediate = request.after.is_none() || state.is_failing();
    let wait = if is_immediate { Duration::ZERO } else { WATCH_WAIT };
    let first = request.send_poll(connection.take(), wait);
    let answer = tokio::select! {
        answer = first => answer?,
        answer = request.send_hedges(wait, hedges) => answer,
    };
    *connection = answer.connection;
    Ok(answer.page)
}

impl PollRequest<'_> {
    /// Makes one call for the list.
    async fn send_poll(
        self,
        mut connection: Option<Connection>,
        wait: Duration,
    ) -> Result<PollAnswer, CallError> {
        let path = path(self.after, wait, self.settings.service.as_ref());
        let list_call = Call {
            kind: if self.after.is_none() { TrafficKind::FullList } else { TrafficKind::ListWatch },
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            wait,
            max_answer: MAX_LIST_BYTES,
        };
        let body = call(&mut connection, self.address, list_call, &self.settings.traffic).await?;
        Ok(PollAnswer { page: serde_json::from_slice(&body)?, connection })
    }

    /// Sends hedges one after another, each on its own connection, until one is answered.
    ///
    /// A restarted registry never answers the calls that it accepted before its restart, but does answer new ones; only
    /// a new call notices that it is back. Each hedge is cancelled when the next one starts, so at most one is pending.
    async fn send_hedges(self, wait: Duration, hedges: &mut HedgeSchedule) -> PollAnswer {
        sleep(wait + hedges.next_interval()).await;
        loop {
            let begun = Instant::now();
            let interval = hedges.next_interval();
            let hedge = self.send_poll(None, Duration::ZERO);
            if let Ok(Ok(answer)) = timeout(interval, hedge).await {
                return answer;
            }
            sleep_until(begun + interval).await;
        }
    }
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
#[path = "../../../tests/unit/client/discovery/poll.rs"]
mod tests;
