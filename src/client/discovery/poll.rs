//! One poll of the endpoint list, with hedged calls while it stays unanswered.
//!
//! A poll either asks for the full list or watches for a change after the version that is held. The first call keeps
//! its full time limit; while it is late, further calls (hedges) go out one after another, and the first complete
//! answer of any of them counts.

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

/// How long a watch waits for a change before it is answered without one.
///
/// Failure: a watch falls silent, which shows only by the end of its wait. A change must be in force 6 s after it was
/// made, so that even three silent watches in a row have to be noticed well within that time.
const WATCH_WAIT: Duration = Duration::from_secs(1);
/// The registry's path for endpoint lists.
const PATH: &str = "/registry/instances";
/// The longest accepted list, in bytes: 59,000 backends with names of 20 bytes, 9,300 with the longest names, zones and
/// classes (computed). A longer one would hold a large part of a proxy's memory while it is parsed.
const MAX_LIST_BYTES: usize = 8 << 20;

/// What one poll asks for, and where.
#[derive(Clone, Copy)]
struct PollRequest<'a> {
    address: SocketAddr,
    /// The version to watch from; without one the full list is asked for.
    after: Option<u64>,
    settings: &'a Settings,
}

/// A parsed answer, and the connection that it came over if that can be kept.
struct PollAnswer {
    page: ListPage,
    connection: Option<Connection>,
}

/// Polls the list: the full one if no version is held, else a watch from that version, without a wait after a failure.
pub(super) async fn poll(
    connection: &mut Option<Connection>,
    state: &WatchState,
    settings: &Settings,
    hedges: &mut HedgeSchedule,
) -> Result<ListPage, CallError> {
    let request = PollRequest { address: state.address(), after: state.resume_version(), settings };
    let at_once = request.after.is_none() || state.is_failing();
    let wait = if at_once { Duration::ZERO } else { WATCH_WAIT };
    let first = request.send_poll(connection.take(), wait);
    let answer = tokio::select! {
        answer = first => answer?,
        answer = request.send_hedges(wait, hedges) => answer,
    };
    *connection = answer.connection;
    Ok(answer.page)
}

impl PollRequest<'_> {
    /// Makes one call.
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

    /// Makes one call after another, each on a connection of its own, until one is answered.
    ///
    /// Failure: a registry restarts and never answers a call that it had accepted before, though it answers new ones.
    /// Only a new call notices that it is back. Each hedge ends when the next one begins, so that one is out at most.
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

/// The path and query of a call. Without a service it has the form from before there were services.
fn path(after: Option<u64>, wait: Duration, service: Option<&ServiceName>) -> String {
    let mut query = Vec::new();
    if let Some(version) = after {
        // A registry may read a wait of 0 as no wait parameter, and wait for its own default.
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
