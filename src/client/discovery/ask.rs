//! One call for the list, and the further ones (hedges) while it stays without an answer.

use super::Settings;
use super::pace::Hedges;
use super::source::Source;
use crate::client::list::Page;
use crate::client::registry::{Call, Fault, Link, call};
use crate::client::service::ServiceName;
use crate::client::traffic::Kind;
use bytes::Bytes;
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a watch waits for a change. A watch may fall silent, which shows only by its wait; news counts as
/// told 6 s on at the latest, so that even three silent watches in a row must be noticed well before that.
const WAIT: Duration = Duration::from_secs(1);
const PATH: &str = "/registry/instances";
/// Longest list.
const MAX_LIST: usize = 8 << 20;

/// Asks for the whole list first, then watches from the version that is held; after a failure it asks without waiting.
/// A call that is late by the first of `hedges` may never be answered, even by an agent that is back: from then on another is out
/// too, a new one each time, and the first whole answer counts. The first call has its full time, however slow all is.
pub(super) async fn ask(
    link: &mut Option<Link>,
    source: &Source,
    settings: &Settings,
    hedges: &mut Hedges,
) -> Result<Page, Fault> {
    let (address, after) = (source.address(), source.after());
    let wait = if after.is_none() || source.failing() { Duration::ZERO } else { WAIT };
    let first = one(link.take(), address, after, wait, settings);
    let others = async {
        sleep(wait + hedges.next_interval()).await;
        loop {
            let (begun, interval) = (Instant::now(), hedges.next_interval());
            if let Ok(Ok(answer)) =
                timeout(interval, one(None, address, after, Duration::ZERO, settings)).await
            {
                return answer;
            }
            sleep_until(begun + interval).await;
        }
    };
    let (page, kept) = tokio::select! {
        answer = first => answer?,
        answer = others => answer,
    };
    *link = kept;
    Ok(page)
}

async fn one(
    mut link: Option<Link>,
    address: SocketAddr,
    after: Option<u64>,
    wait: Duration,
    settings: &Settings,
) -> Result<(Page, Option<Link>), Fault> {
    let path = path(after, wait, settings.service.as_ref());
    let asked = Call {
        kind: if after.is_none() { Kind::ListWhole } else { Kind::ListWatch },
        method: Method::GET,
        path: &path,
        body: Bytes::new(),
        wait,
        max_answer: MAX_LIST,
    };
    let text = call(&mut link, address, asked, &settings.traffic).await?;
    Ok((serde_json::from_slice(&text)?, link))
}

/// Where the list is asked for, or its changes after a version. Without a service it is as it was before there were any.
fn path(after: Option<u64>, wait: Duration, service: Option<&ServiceName>) -> String {
    let mut query = Vec::new();
    if let Some(seq) = after {
        // A wait of 0 may be read as none at all.
        query.push(format!("after={seq}&wait_ms={}", wait.as_millis().max(1)));
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
#[path = "../../../tests/unit/client/discovery/ask.rs"]
mod tests;
