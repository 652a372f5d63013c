//! Handles one request from its head to its response, phase by phase.
//!
//! Acts for each request on a client's connection, also for `/health/ready`. In what order the phases run is written in
//! [`Downstream::handle_request`] and nowhere else.

use super::Downstream;
use super::respond::{Reply, closing, plain, respond};
use crate::body::{BodyState, RemainingBody};
use crate::counters::RequestRecord;
use crate::engine::{AdmittedRequest, NotAdmitted, ParsedRequest, RequestEnd};
use crate::io::{Client, Progress};
use crate::upstream::UpstreamResponse;
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use hyper::{Request, StatusCode};
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The connection that a request came on.
#[derive(Clone, Copy)]
pub(super) struct RequestSource<'a> {
    /// Whether it was accepted beyond the limit of connections.
    pub(super) over_limit: bool,
    pub(super) progress: &'a Progress,
    pub(super) client: &'a Rc<Client>,
}

/// What the client announced of its body.
#[derive(Clone, Copy)]
struct Announced {
    has_body: bool,
    /// It sends its body only after a `100 Continue`.
    expects_continue: bool,
}

impl Downstream {
    /// The way of a request: `read_request` -> `admit` -> (`select_endpoint` -> `connect` -> `forward` -> `await_response`,
    /// again for each retry) -> `respond` -> `account`. The balancer selects the endpoint, the engine starts the attempt,
    /// and `connect` to `await_response` are in `upstream/`.
    pub(super) async fn handle_request(
        &self,
        request: Request<Incoming>,
        source: RequestSource<'_>,
    ) -> Result<Reply, Infallible> {
        let announced = Announced {
            has_body: !request.body().is_end_stream(),
            expects_continue: request.headers().contains_key(EXPECT),
        };
        let readiness = self.readiness();
        let parsed = if request.uri().path() == "/health/ready" {
            Err(Box::new(plain(readiness)))
        } else {
            self.read_request(request, source).await
        };
        let reply = match parsed {
            // Guards against bytes of an unread body that would be taken for the next request.
            Err(reply) if announced.has_body => closing(*reply),
            Err(reply) => *reply,
            // Idle clients hold connections too: what is rejected is work beyond what can be served.
            Ok((_, record))
                if source.over_limit && self.engine.unanswered_requests() >= self.own_connections() =>
            {
                respond(RequestEnd::Rejected { retry_after: None }, record)
            }
            Ok((parsed, record)) => self.serve_request(parsed, record, announced, source).await,
        };
        Ok(if self.must_close(source.client) { closing(reply) } else { reply })
    }

    /// The status of `/health/ready`.
    fn readiness(&self) -> StatusCode {
        let ready = self.engine.is_ready() && self.lifecycle.phase().keeps_connections();
        if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    }

    /// Whether a client's connection is closed after its response. Clients that send one request and stay connected would
    /// soon hold all connections: as those run short, none is kept.
    fn must_close(&self, client: &Client) -> bool {
        2 * self.open.get() > self.own_connections()
            || !self.lifecycle.phase().keeps_connections()
            || client.has_discarded()
    }

    /// Admits a request, waits for its end, and responds.
    async fn serve_request(
        &self,
        request: ParsedRequest,
        mut record: RequestRecord,
        announced: Announced,
        source: RequestSource<'_>,
    ) -> Reply {
        let body = request.call.remaining_body.clone();
        let received_at = request.received_at;
        source.client.set_request_complete(body.is_none());
        let mut ended = pin!(ended(self.engine.admit(request)));
        let Some(body) = body else {
            let end = unless_client_leaves(ended, source.client).await;
            return respond(self.in_time(end, received_at), record);
        };
        let complete_or_ended = async {
            tokio::select! {
                end = &mut ended => return end,
                state = body.settled() => body_settled(state, &mut record, source),
            }
            ended.await
        };
        let end = unless_client_leaves(complete_or_ended, source.client).await;
        let end = match body.state() {
            BodyState::Complete(at) => self.in_time(end, at),
            _ => end,
        };
        respond_with_unread_body(end, record, &body, announced)
    }

    /// Guards against a response that is begun and then lost at the SIGKILL by the platform: one that flows has no end in
    /// sight, so that for a request that came late after the stop it counts as too late.
    fn in_time(&self, end: RequestEnd, complete_at: Instant) -> RequestEnd {
        match end {
            RequestEnd::Served(UpstreamResponse { remaining: Some(_), .. })
                if self.lifecycle.is_late_request(complete_at) =>
            {
                RequestEnd::DeadlineExceeded
            }
            end => end,
        }
    }
}

/// Waits for the end of a request that was or was not admitted.
async fn ended(admitted: Result<AdmittedRequest, NotAdmitted>) -> RequestEnd {
    match admitted {
        Ok(request) => request.ended().await,
        Err(NotAdmitted) => RequestEnd::Rejected { retry_after: None },
    }
}

async fn unless_client_leaves(ended: impl Future<Output = RequestEnd>, client: &Client) -> RequestEnd {
    tokio::select! {
        biased;
        end = ended => end,
        () = client.wait_until_left() => RequestEnd::ClientGone,
    }
}

/// The body that flowed is complete or broken off. When complete, an answer is owed, and the next bytes are another head's.
fn body_settled(state: BodyState, record: &mut RequestRecord, source: RequestSource<'_>) {
    if state != BodyState::Broken {
        source.client.set_request_complete(true);
        source.progress.await_head();
        record.complete();
    }
}

/// Responds to a request whose body was not buffered, and sees to what of it is unread.
///
/// Guards against a response that is lost: closed over unread bytes, the client's connection would be reset. So the body is
/// read to its end and dropped; where the client awaits a `100 Continue` it may never send it, and the connection closes.
fn respond_with_unread_body(
    end: RequestEnd,
    record: RequestRecord,
    body: &RemainingBody,
    announced: Announced,
) -> Reply {
    let unread = if matches!(end, RequestEnd::Served(_)) { None } else { body.withdraw() };
    match unread {
        Some(_) if announced.expects_continue && !body.was_passed_on() => closing(respond(end, record)),
        Some(flow) => {
            spawn_local(flow.drain());
            respond(end, record)
        }
        None => respond(end, record),
    }
}
