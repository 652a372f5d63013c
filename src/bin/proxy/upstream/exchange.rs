//! The exchange of one attempt on its connection: the phases `forward` and `await_response`.
//!
//! Owns the connection until the response has been read, and the attempt's access to the streamed part of the request's
//! body.

use super::link::Link;
use super::pool::Pool;
use super::response::read_response;
use super::{AttemptEnd, Target, UpstreamRequest};
use crate::body::{BodyClaim, ClaimedBody};
use hyper::Response;
use hyper::body::Incoming;
use load_balancer::interface::Outcome;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// The streamed part of a request's body for one attempt, if it has such a part.
#[derive(Clone, Default)]
pub(super) struct BodyAccess(Rc<Cell<Option<BodyClaim>>>);

impl BodyAccess {
    /// Claims the body. Returns `None` if another attempt has it, or has taken a part of it.
    pub(super) fn claim(call: &UpstreamRequest) -> Option<Self> {
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
    pub(super) fn end(&self) {
        self.0.take();
    }
}

/// Sends the request on a connection, awaits its response, and returns a reusable connection to the pool.
pub(super) async fn exchange(
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
