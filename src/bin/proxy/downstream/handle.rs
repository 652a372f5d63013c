//! Handles one request from its head to its response, phase by phase.
//!
//! Runs for each request on a client connection, including `/health/ready`. The order of the phases is defined in
//! [`Downstream::handle_request`] only.

use super::Downstream;
use super::respond::{Reply, close_after, empty_response, respond};
use crate::body::{BodyState, ReceiveProgress, RemainingBody};
use crate::counters::RequestRecord;
use crate::engine::{AdmittedRequest, NotAdmitted, ParsedRequest, RequestEnd};
use crate::io::{Client, Progress};
use crate::refusals::Shortage;
use crate::upstream::UpstreamResponse;
use hyper::body::{Body, Incoming};
use hyper::header::EXPECT;
use hyper::{Request, StatusCode};
use std::convert::Infallible;
use std::future::{Future, pending};
use std::pin::pin;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The connection on which a request arrived.
#[derive(Clone, Copy)]
pub(super) struct RequestSource<'a> {
    /// Whether the connection was accepted beyond the connection limit.
    pub(super) over_limit: bool,
    pub(super) progress: &'a Progress,
    pub(super) client: &'a Rc<Client>,
    /// Observes the body of the request.
    pub(super) receiving: &'a Rc<ReceiveProgress>,
}

/// What a request's head announces about its body.
#[derive(Clone, Copy)]
struct Announced {
    has_body: bool,
    /// Whether the client sends its body only after a `100 Continue`.
    expects_continue: bool,
}

impl Downstream {
    /// Runs the phases of a request: `read_request` -> `admit` -> (`select_endpoint` -> `connect` -> `forward` ->
    /// `await_response`, repeated for each retry) -> `respond` -> `account`. The balancer selects the endpoint, the
    /// engine starts the attempt, and `connect` to `await_response` are in `upstream/`.
    pub(super) async fn handle_request(
        &self,
        request: Request<Incoming>,
        source: RequestSource<'_>,
    ) -> Result<Reply, Infallible> {
        let announced = Announced {
            has_body: !request.body().is_end_stream(),
            expects_continue: request.headers().contains_key(EXPECT),
        };
        let body_begins_at = source.progress.take_head_end();
        let readiness = self.readiness();
        let parsed = if request.uri().path() == "/health/ready" {
            Err(Box::new(empty_response(readiness)))
        } else {
            self.read_request(request, source, body_begins_at).await
        };
        let reply = match parsed {
            // Bytes of an unread body would be parsed as the next request.
            Err(reply) if announced.has_body => close_after(*reply),
            Err(reply) => *reply,
            Ok((_, record)) if source.over_limit && self.is_full() => {
                self.counters.refusals().add(Shortage::Slots, 1);
                respond(RequestEnd::Rejected { retry_after: None }, record)
            }
            Ok((parsed, record)) => self.serve_request(parsed, record, announced, source).await,
        };
        Ok(if self.must_close(source.client) { close_after(reply) } else { reply })
    }

    /// Returns whether a request beyond the connection limit is rejected. Idle clients count towards that limit, so the
    /// unanswered requests alone must reach it; those that wait for a connection to a backend are shed by the balancer, in
    /// the order of their classes.
    fn is_full(&self) -> bool {
        let unanswered = self.engine.unanswered_requests();
        unanswered >= self.served_connections() && !self.engine.has_requests_without_connection()
    }

    /// Returns the status of `/health/ready`.
    fn readiness(&self) -> StatusCode {
        let ready = self.engine.is_ready() && self.lifecycle.phase().keeps_connections();
        if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
    }

    /// Returns whether a client's connection is closed after its response. Clients that send one request and stay
    /// connected would soon hold all connections, so that none is kept once more than half of the limit is in use.
    fn must_close(&self, client: &Client) -> bool {
        2 * self.open.get() > self.own_connections()
            || 2 * self.served() > self.served_connections()
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
        let trace = request.call.trace.clone();
        source.client.set_request_complete(body.is_none());
        let mut ended = pin!(ended(self.admit(request)));
        let Some(body) = body else {
            let end = end_or_client_left(ended, source.client).await;
            return trace.answered(respond(self.fail_late_stream(end, received_at), record));
        };
        let complete_or_ended = async {
            tokio::select! {
                end = &mut ended => return end,
                state = body.settled() => {
                    trace.body_ended(state);
                    if state != BodyState::Broken {
                        // From here on the request must be answered.
                        record.complete();
                    }
                }
            }
            ended.await
        };
        let end = tokio::select! {
            biased;
            never = receive_body(&body, announced, source) => match never {},
            end = end_or_client_left(complete_or_ended, source.client) => end,
        };
        let end = match body.state() {
            BodyState::Complete(at) => self.fail_late_stream(end, at),
            _ => end,
        };
        trace.answered(respond_with_unread_body(end, record, &body, announced, source))
    }

    /// Passes a request to the engine, unless its id may have run. Fails with the end of the request.
    fn admit(&self, request: ParsedRequest) -> Result<AdmittedRequest, RequestEnd> {
        if request.call.id_hash.is_some_and(|id| self.sent_ids.may_have_run(id)) {
            request.call.trace.may_have_run();
            return Err(RequestEnd::MayHaveRun);
        }
        self.engine.admit(request).map_err(|NotAdmitted| RequestEnd::Rejected { retry_after: None })
    }

    /// Turns a streamed response into an exceeded deadline if the request was completed too late after the stop
    /// began. The end of a streamed response is not known, and the platform's SIGKILL could cut it off.
    fn fail_late_stream(&self, end: RequestEnd, complete_at: Instant) -> RequestEnd {
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

/// Waits for the end of an admitted request; one that was not admitted has ended.
async fn ended(admitted: Result<AdmittedRequest, RequestEnd>) -> RequestEnd {
    match admitted {
        Ok(request) => request.ended().await,
        Err(end) => end,
    }
}

/// Waits for the end of a request, or until its client has left.
async fn end_or_client_left(ended: impl Future<Output = RequestEnd>, client: &Client) -> RequestEnd {
    tokio::select! {
        biased;
        end = ended => end,
        () = client.wait_until_left() => RequestEnd::ClientGone,
    }
}

/// Receives a streamed request body and never returns. After a complete body the next bytes belong to the head of
/// another request.
async fn receive_body(body: &RemainingBody, announced: Announced, source: RequestSource<'_>) -> Infallible {
    body.receive(announced.expects_continue).await;
    if body.is_received() {
        source.client.set_request_complete(true);
        source.progress.await_head();
    }
    pending().await
}

/// Responds to a request whose body was not buffered, and drains what was not read of it.
///
/// A connection that closes with unread bytes is reset, and the client may lose the response. The body is therefore
/// read and discarded. A client that awaits a `100 Continue` may never send the body, so that its connection closes
/// instead.
fn respond_with_unread_body(
    end: RequestEnd,
    record: RequestRecord,
    body: &RemainingBody,
    announced: Announced,
    source: RequestSource<'_>,
) -> Reply {
    let unread = if matches!(end, RequestEnd::Served(_)) { None } else { body.take_unreceived() };
    match unread {
        Some(_) if announced.expects_continue && !body.was_passed_on() => close_after(respond(end, record)),
        Some(unread) => {
            source.progress.ignore_heads();
            spawn_local(unread.drain());
            respond(end, record)
        }
        None => respond(end, record),
    }
}
