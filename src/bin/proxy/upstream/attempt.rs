//! One attempt at one backend: the phases `connect`, `forward` and `await_response`.
//!
//! Runs from the balancer's selection of an endpoint until the attempt's end is reported, which happens exactly
//! once. Owns the attempt's connection meanwhile, and what it may take of the request's body ([`BodyAccess`]), which ends
//! before the end is reported. A reusable connection returns to the pool; any other closes when its [`Link`] is dropped.

use super::pool::{Link, Permit, Pool};
use super::response::read_response;
use super::{AttemptEnd, Target, UpstreamRequest};
use crate::body::{BodyClaim, ClaimedBody};
use hyper::Response;
use hyper::body::Incoming;
use load_balancer::interface::Outcome;
use std::cell::Cell;
use std::future::{Future, pending};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

/// Time for which the response of a superseded attempt is awaited so that its connection can be kept: longer than most
/// requests take. No client waits for the response and the permits are few, so that a longer request only costs its
/// connection.
const SUPERSEDED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Divisor that gives the largest part of all connections on which responses of superseded attempts are awaited.
const SUPERSEDED_CONNECTIONS_DIVISOR: usize = 4;

/// One attempt at a request, with its target and the conditions that end it early.
pub struct Attempt {
    /// The request to send.
    pub call: Rc<UpstreamRequest>,
    /// The backend to which the request is sent.
    pub target: Rc<Target>,
    /// The time at which the attempt times out.
    pub deadline: Instant,
    /// The time before which the attempt must have begun. The backend would run a later repeat again.
    pub begin_by: Option<Instant>,
    /// The channel on which the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// The streamed part of a request's body for one attempt, if it has such a part.
#[derive(Clone, Default)]
struct BodyAccess(Rc<Cell<Option<BodyClaim>>>);

impl BodyAccess {
    /// Claims the body. Returns `None` if another attempt has it, or has taken a part of it.
    fn claim(call: &UpstreamRequest) -> Option<Self> {
        let Some(body) = &call.remaining_body else { return Some(BodyAccess::default()) };
        Some(BodyAccess(Rc::new(Cell::new(Some(body.claim()?)))))
    }

    /// Returns the streamed part for the connection that writes it.
    fn streamed(&self) -> Option<ClaimedBody> {
        let claim = self.0.take();
        let streamed = claim.as_ref().map(BodyClaim::body);
        self.0.set(claim);
        streamed
    }

    /// Ends the access: what the attempt has not taken is left for the next one.
    fn end(&self) {
        self.0.take();
    }
}

/// The report of an attempt's end, which ends its access to the body first.
struct Report<R> {
    body: BodyAccess,
    report: R,
}

impl<R: FnOnce(AttemptEnd)> Report<R> {
    fn send(self, end: AttemptEnd) {
        self.body.end();
        (self.report)(end);
    }
}

impl Attempt {
    /// Runs the attempt and reports its end exactly once.
    pub async fn run(self, pool: Rc<Pool>, report: impl FnOnce(AttemptEnd)) {
        let Attempt { call, target, deadline, begin_by, cancelled } = self;
        let mut cancel_or_timeout = pin!(cancelled_or_timed_out(&call, deadline, cancelled));
        let link = tokio::select! {
            biased;
            // If the attempt is cancelled or timed out in the same poll in which the connection is established,
            // nothing is written.
            outcome = &mut cancel_or_timeout => return report(end_without_response(&call, outcome)),
            link = connect(&pool, &call, &target) => link,
        };
        let link = match link {
            // A slow connect must not lead to a repeat outside the deduplication window.
            Ok(_) if begin_by.is_some_and(|by| Instant::now() >= by) => Err(Outcome::NotSent),
            link => link,
        };
        let connected = link.and_then(|link| Ok((link, BodyAccess::claim(&call).ok_or(Outcome::NotSent)?)));
        let ((link, _incomplete_permit), body) = match connected {
            Ok(connected) => connected,
            Err(outcome) => return report(AttemptEnd::Failed(outcome)),
        };
        let report = Report { body: body.clone(), report };
        let progress = link.progress.clone();
        let mut exchange = pin!(exchange(link, &pool, &call, &target, &body, deadline));
        let outcome = tokio::select! {
            biased;
            end = &mut exchange => {
                if end.outcome().never_ran() {
                    call.undo_run(&pool.sent_ids);
                }
                return report.send(end);
            }
            outcome = &mut cancel_or_timeout => outcome,
        };
        let written = progress.is_written();
        if !written {
            progress.abandon();
            call.undo_run(&pool.sent_ids);
        }
        report.send(end_without_response(&call, outcome));
        if written && pool.limits.may_duplicate {
            drain_superseded(&pool, exchange).await;
        }
    }
}

/// Waits until the attempt's deadline has passed or the balancer cancels the attempt.
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

/// Returns the end of an attempt that was cancelled or timed out. A request whose client has not sent its last byte
/// cannot have run, and a slow client says nothing about the backend. Any other request counts as one that may have
/// run, even if nothing of it was written.
fn end_without_response(call: &UpstreamRequest, cause: Outcome) -> AttemptEnd {
    AttemptEnd::Failed(if call.is_complete() { cause } else { Outcome::NotSent })
}

/// Awaits the response of a superseded attempt to keep its connection. Backends do not stop abandoned work, so that
/// closing the connection would save them nothing and cost both sides a new connection.
async fn drain_superseded(pool: &Pool, exchange: impl Future<Output = AttemptEnd>) {
    let most = pool.limits.own_connections() / SUPERSEDED_CONNECTIONS_DIVISOR;
    if let Some(_permit) = Permit::acquire(&pool.superseded, most) {
        // `exchange` returns the connection to the pool; the response itself is dropped.
        let _ = timeout_at(Instant::now() + SUPERSEDED_RESPONSE_TIMEOUT, exchange).await;
    }
}

/// The phase `connect`: returns a connection on which the request may be sent, an idle one if there is any.
async fn connect(
    pool: &Rc<Pool>,
    call: &UpstreamRequest,
    target: &Rc<Target>,
) -> Result<(Link, Option<Permit>), Outcome> {
    let permit = permit_incomplete(pool, call).await?;
    let link = match pool.reuse(target.address) {
        Some(link) => link,
        None => pool.connect(target.address).await?,
    };
    // The connect may have begun before the drain was known and ended long after it. Only half of the grace is
    // used, which leaves time for a late event loop and a slow write.
    if target.drained_at.get().is_some_and(|at| at.elapsed() > pool.limits.drain_grace / 2) {
        return Err(Outcome::NotSent);
    }
    // The client may have left during the connect.
    if call.client_gone() {
        return Err(Outcome::NotSent);
    }
    Ok((link, permit))
}

/// Returns a permit to send a request whose client has not sent it whole; a whole one needs none. Without a permit, the
/// request waits until it is whole, or fails once the proxy can receive no more of it.
async fn permit_incomplete(pool: &Pool, call: &UpstreamRequest) -> Result<Option<Permit>, Outcome> {
    if call.is_complete() {
        return Ok(None);
    }
    let permit = Permit::acquire(&pool.incomplete_requests, pool.limits.slow_connections());
    if permit.is_some() {
        return Ok(permit);
    }
    call.sendable().await;
    if call.is_complete() { Ok(None) } else { Err(Outcome::NotSent) }
}

/// Sends the request on a connection, awaits its response, and returns a reusable connection to the pool.
async fn exchange(
    mut link: Link,
    pool: &Rc<Pool>,
    call: &UpstreamRequest,
    target: &Rc<Target>,
    body: &BodyAccess,
    deadline: Instant,
) -> AttemptEnd {
    if !call.begin_run(&pool.sent_ids) {
        return AttemptEnd::Failed(Outcome::Malformed);
    }
    let response = match forward(&mut link, call, target, body, deadline).await {
        Ok(response) => response,
        Err(outcome) => return AttemptEnd::Failed(outcome),
    };
    match await_response(response, &link, pool, call, body).await {
        Ok(end) => {
            // The HTTP library writes what it has taken of a request that was turned away; less than all of it would
            // leave the connection in the middle of a request.
            if end.outcome() != Outcome::Reset && link.progress.is_taken() {
                return_to_pool(link, pool, target);
            }
            end
        }
        Err(outcome) => AttemptEnd::Failed(outcome),
    }
}

/// The phase `forward`: writes the request and reads the head of the response.
async fn forward(
    link: &mut Link,
    call: &UpstreamRequest,
    target: &Target,
    body: &BodyAccess,
    deadline: Instant,
) -> Result<Response<Incoming>, Outcome> {
    let timeout_ms = call.backend_timeout_ms(deadline);
    let request = call.to_http(body.streamed(), &link.progress, timeout_ms).ok_or(Outcome::NotSent)?;
    call.trace.forwarded(target.address, timeout_ms);
    match link.sender.send_request(request).await {
        Ok(response) => Ok(response),
        Err(_) if call.is_broken() => Err(Outcome::NotSent),
        // Only the connection's progress shows whether the backend may have received the complete request.
        Err(_) if link.progress.is_written() => Err(Outcome::Reset),
        Err(_) => Err(Outcome::ConnectFailed),
    }
}

/// The phase `await_response`: reads the response. Returns `Err` if the response is invalid and the connection must
/// not be reused.
///
/// A response that arrives before the request is written completely is invalid, since a backend begins its work
/// with the last byte; only a rejection may come earlier. No more of the body is taken then, so that the request can be
/// sent to another backend if nothing of it is gone.
async fn await_response(
    response: Response<Incoming>,
    link: &Link,
    pool: &Rc<Pool>,
    call: &UpstreamRequest,
    body: &BodyAccess,
) -> Result<AttemptEnd, Outcome> {
    let early = !link.progress.is_written();
    if early {
        body.end();
    }
    let end = read_response(response, pool, call.client_deadline()).await;
    if !early || end.outcome() == Outcome::Rejected {
        return Ok(end);
    }
    let may_have_run = link.progress.is_written();
    link.progress.abandon();
    Err(if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed })
}

/// Returns a connection to the pool once it is ready for the next request.
fn return_to_pool(mut link: Link, pool: &Rc<Pool>, target: &Rc<Target>) {
    let pool = pool.clone();
    let target = target.clone();
    tokio::task::spawn_local(async move {
        if link.sender.ready().await.is_ok() {
            pool.keep(&target, link);
        }
    });
}
