//! One attempt at one backend: the phases `connect`, `forward` and `await_response`.
//!
//! Acts from the module's choice of an endpoint until the attempt's end is reported, which happens exactly once. Owns its
//! connection meanwhile; a connection that can be used again goes back to the pool.

use super::pool::{Link, Permit, Pool};
use super::response::read_response;
use super::{AttemptEnd, Target, UpstreamRequest};
use hyper::Response;
use hyper::body::Incoming;
use load_balancer::interface::Outcome;
use std::future::{Future, pending};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// The response of a superseded attempt is awaited so long, to keep its connection: longer than most work takes. No client
/// waits for it, and the permits are few, so that longer work only costs a connection.
const SUPERSEDED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections on which superseded responses are awaited are at most this part of all.
const SUPERSEDED_CONNECTIONS_PART: usize = 4;

/// One attempt: what is sent, where to, and what ends it early.
pub struct Attempt {
    /// The request.
    pub call: Rc<UpstreamRequest>,
    /// Where it goes.
    pub target: Rc<Target>,
    /// When it times out.
    pub deadline: Instant,
    /// When it must have begun: a repeat that comes later would run again.
    pub begin_by: Option<Instant>,
    /// Cancels it.
    pub cancelled: oneshot::Receiver<()>,
}

impl Attempt {
    /// Carries the attempt out and reports its end, once.
    pub async fn run(self, pool: Rc<Pool>, report: impl FnOnce(AttemptEnd)) {
        let Attempt { call, target, deadline, begin_by, cancelled } = self;
        let mut cancel_or_timeout = pin!(cancelled_or_timed_out(&call, deadline, cancelled));
        let link = tokio::select! {
            biased;
            // Cancelled or timed out in the very step in which the connection was established, nothing is written to it.
            outcome = &mut cancel_or_timeout => return report(end_without_response(&call, outcome)),
            link = connect(&pool, &call, &target) => link,
        };
        let link = match link {
            // Guards against a repeat outside the dedup window: the connect may have taken long.
            Ok(_) if begin_by.is_some_and(|by| Instant::now() >= by) => Err(Outcome::NotSent),
            link => link,
        };
        let link = match link {
            Ok(link) => link,
            Err(outcome) => return report(AttemptEnd::Failed(outcome)),
        };
        let progress = link.progress.clone();
        let mut exchange = pin!(exchange(link, &pool, &call, &target, deadline));
        let outcome = tokio::select! {
            biased;
            end = &mut exchange => return report(end),
            outcome = &mut cancel_or_timeout => outcome,
        };
        let written = progress.is_written();
        if !written {
            progress.abandon();
        }
        report(end_without_response(&call, outcome));
        if written && pool.limits.may_duplicate {
            drain_superseded(&pool, exchange).await;
        }
    }
}

/// Waits until the attempt's deadline has passed or the module cancels it.
async fn cancelled_or_timed_out(
    call: &UpstreamRequest,
    deadline: Instant,
    cancelled: oneshot::Receiver<()>,
) -> Outcome {
    let cancelled = async {
        if cancelled.await.is_err() {
            pending().await
        }
    };
    tokio::select! {
        biased;
        () = call.deadline_passed(deadline) => Outcome::Timeout,
        () = cancelled => Outcome::Cancelled,
    }
}

/// The end of an attempt that was cancelled or timed out. Without its last byte a request does not run, and how fast its
/// client sends says nothing of the backend.
fn end_without_response(call: &UpstreamRequest, cause: Outcome) -> AttemptEnd {
    AttemptEnd::Failed(if call.is_complete() { cause } else { Outcome::NotSent })
}

/// Awaits the response of an attempt that was given up, for its connection's sake: backends do not stop work that was given
/// up, so that a close would save them nothing and cost both sides a new connection.
async fn drain_superseded(pool: &Pool, exchange: impl Future<Output = AttemptEnd>) {
    let most = pool.limits.own_connections() / SUPERSEDED_CONNECTIONS_PART;
    if let Some(_permit) = Permit::acquire(&pool.superseded, most) {
        // The connection returns to the pool inside; the response itself is dropped.
        let _ = timeout_at(Instant::now() + SUPERSEDED_RESPONSE_TIMEOUT, exchange).await;
    }
}

/// The phase `connect`: a connection on which the request may be sent, an idle one where there is one.
async fn connect(pool: &Rc<Pool>, call: &UpstreamRequest, target: &Rc<Target>) -> Result<Link, Outcome> {
    let link = match pool.reuse(target.address) {
        Some(link) => link,
        None => pool.connect(target.address).await?,
    };
    // Guards against a send to a backend that drains: the connect may have begun before the drain was known and ended long
    // after. Half the grace allows for an event loop that is late and a slow write.
    if target.drained_at.get().is_some_and(|at| at.elapsed() > pool.limits.drain_grace / 2) {
        return Err(Outcome::NotSent);
    }
    // Guards against work for a client that left during the connect.
    if call.client_gone() {
        return Err(Outcome::NotSent);
    }
    Ok(link)
}

/// Sends the request on a connection, awaits its response, and returns the connection to the pool where it can be used
/// again.
async fn exchange(
    mut link: Link,
    pool: &Rc<Pool>,
    call: &UpstreamRequest,
    target: &Rc<Target>,
    deadline: Instant,
) -> AttemptEnd {
    let response = match forward(&mut link, call, deadline).await {
        Ok(response) => response,
        Err(outcome) => return AttemptEnd::Failed(outcome),
    };
    let end = await_response(response, &link, pool, call).await;
    match end {
        Ok(end) => {
            if end.outcome() != Outcome::Reset {
                keep_when_ready(link, pool, target);
            }
            end
        }
        Err(outcome) => AttemptEnd::Failed(outcome),
    }
}

/// The phase `forward`: writes the request, and reads up to the head of the response.
async fn forward(
    link: &mut Link,
    call: &UpstreamRequest,
    deadline: Instant,
) -> Result<Response<Incoming>, Outcome> {
    let request = call.to_http(&link.progress, deadline).ok_or(Outcome::NotSent)?;
    match link.sender.send_request(request).await {
        Ok(response) => Ok(response),
        Err(_) if !call.is_complete() && call.is_broken() => Err(Outcome::NotSent),
        // Only the connection knows whether the backend can have all of the request.
        Err(_) if link.progress.is_written() => Err(Outcome::Reset),
        Err(_) => Err(Outcome::ConnectFailed),
    }
}

/// The phase `await_response`: reads the response. `Err` where it counts for nothing and the connection must not be used
/// again.
///
/// Guards against a response to half a request: a backend begins its work with the last byte, so that what arrives before
/// answers nothing, except that it may well reject the request by then. What is left of the request is never written.
async fn await_response(
    response: Response<Incoming>,
    link: &Link,
    pool: &Rc<Pool>,
    call: &UpstreamRequest,
) -> Result<AttemptEnd, Outcome> {
    let early = !link.progress.is_written();
    let end = read_response(response, &pool.buffer_budget, call.client_deadline()).await;
    if !early || end.outcome() == Outcome::Rejected {
        return Ok(end);
    }
    let may_have_run = link.progress.is_written();
    link.progress.abandon();
    Err(if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed })
}

/// Returns a connection to the pool once it can take the next request.
fn keep_when_ready(mut link: Link, pool: &Rc<Pool>, target: &Rc<Target>) {
    let pool = pool.clone();
    let target = target.clone();
    tokio::task::spawn_local(async move {
        if link.sender.ready().await.is_ok() {
            pool.keep(&target, link);
        }
    });
}
