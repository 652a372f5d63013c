//! One attempt at one backend: the phase `connect`, and those of `exchange.rs`.
//!
//! Runs from the balancer's selection of an endpoint until the attempt's end is reported, which happens exactly
//! once. Owns the attempt's connection meanwhile, and what it may take of the request's body ([`BodyAccess`]), which ends
//! before the end is reported. A reusable connection returns to the pool; any other closes when its [`Link`] is dropped.

use super::exchange::{BodyAccess, exchange};
use super::limits::Permit;
use super::link::Link;
use super::pool::Pool;
use super::reservation::ConnectionReservation;
use super::{AttemptEnd, Target, UpstreamRequest, UpstreamResponse};
use load_balancer::interface::Outcome;
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
    /// The connection that is reserved for the attempt.
    pub connection: ConnectionReservation,
    /// The channel on which the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// The report of an attempt's end. What the attempt holds ends first: its access to the body, and its reservation of a
/// connection, which a response that is passed on takes over.
struct Report<R> {
    body: BodyAccess,
    connection: ConnectionReservation,
    report: R,
}

impl<R: FnOnce(AttemptEnd)> Report<R> {
    fn send(self, end: AttemptEnd) {
        let Report { body, mut connection, report } = self;
        body.end();
        let end = match end {
            AttemptEnd::Response(response) if response.remaining.is_some() => {
                connection.outlive_attempt();
                AttemptEnd::Response(UpstreamResponse { connection: Some(connection), ..response })
            }
            end => {
                drop(connection);
                end
            }
        };
        report(end);
    }

    /// Reports the end of an attempt whose connection is still in use, and returns the reservation.
    fn send_and_keep(self, end: AttemptEnd) -> ConnectionReservation {
        let Report { body, mut connection, report } = self;
        body.end();
        connection.outlive_attempt();
        report(end);
        connection
    }
}

impl Attempt {
    /// Runs the attempt and reports its end exactly once.
    pub async fn run(self, pool: Rc<Pool>, report: impl FnOnce(AttemptEnd)) {
        let Attempt { call, target, deadline, begin_by, mut connection, cancelled } = self;
        let mut cancel_or_timeout = pin!(cancelled_or_timed_out(&call, deadline, cancelled));
        let link = tokio::select! {
            biased;
            // If the attempt is cancelled or timed out in the same poll in which the connection is established,
            // nothing is written.
            outcome = &mut cancel_or_timeout => {
                drop(connection);
                return report(end_without_response(&call, outcome));
            }
            link = connect(&pool, &call, &target, &mut connection) => link,
        };
        let link = match link {
            // A slow connect must not lead to a repeat outside the deduplication window.
            Ok(_) if begin_by.is_some_and(|by| Instant::now() >= by) => Err(Outcome::NotSent),
            link => link,
        };
        let connected = link.and_then(|link| Ok((link, BodyAccess::claim(&call).ok_or(Outcome::NotSent)?)));
        let ((link, _incomplete_permit), body) = match connected {
            Ok(connected) => connected,
            Err(outcome) => {
                drop(connection);
                return report(AttemptEnd::Failed(outcome));
            }
        };
        let report = Report { body: body.clone(), connection, report };
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
        let end = end_without_response(&call, outcome);
        if written && pool.limits.may_duplicate {
            let _connection = report.send_and_keep(end);
            drain_superseded(&pool, exchange).await;
        } else {
            report.send(end);
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
    connection: &mut ConnectionReservation,
) -> Result<(Link, Option<Permit>), Outcome> {
    call.shortage.set(None);
    let permit = permit_incomplete(pool, call, connection).await?;
    let link = match pool.reuse(target.address) {
        Some(link) => link,
        None => {
            pool.connect(target.address).await.inspect_err(|error| call.shortage.set(error.shortage()))?
        }
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
/// request waits without a connection until it is whole, or fails once the proxy can receive no more of it.
async fn permit_incomplete(
    pool: &Pool,
    call: &UpstreamRequest,
    connection: &mut ConnectionReservation,
) -> Result<Option<Permit>, Outcome> {
    if call.is_complete() {
        return Ok(None);
    }
    let permit = Permit::acquire(&pool.incomplete_requests, pool.limits.for_incomplete_requests());
    if permit.is_some() {
        return Ok(permit);
    }
    connection.pause();
    call.sendable().await;
    if call.is_complete() && connection.resume(pool.limits.own_connections()) {
        return Ok(None);
    }
    call.shortage.set(Some(pool.limits.binding()));
    Err(Outcome::NotSent)
}
