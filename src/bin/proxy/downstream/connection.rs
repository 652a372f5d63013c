//! One client connection: serves its requests one after the other, and closes it.
//!
//! Runs from the accept to the close of the connection, also on timers and when idle connections are asked to
//! close. Owns the stream and the time since which the connection is idle.

use super::Downstream;
use super::activity::{Activity, Decision, FIRST_REQUEST_TIMEOUT, IdleCloseReason};
use super::handle::RequestSource;
use super::lingering_close::LingeringClose;
use super::respond::{Reply, close_after, empty_response};
use crate::io::{ClientStream, Watched};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioTimer;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::ready;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// Longest time that a client may take to send a request's head, including the idle time before it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// A client connection as the HTTP library serves it.
type ClientConnection<S> = http1::Connection<Watched<LingeringClose<ClientStream>>, S>;

impl Downstream {
    /// Serves one client connection until it is closed. `over_limit` says that it was accepted beyond the
    /// connection limit.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        mut stream: TcpStream,
        mut idle_close: watch::Receiver<IdleCloseReason>,
        over_limit: bool,
    ) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let accepted_at = Instant::now();
        let first_request = self.await_first_request(&mut stream, &mut idle_close).await;
        let Some((first, _slot)) = first_request else { return };
        let over_limit = over_limit || self.served() > self.served_connections();
        let stream = ClientStream::new(stream, first.bytes, self.buffer_budget.clone());
        let client = stream.client();
        if let Some(arrived_at) = first.arrived_at {
            client.set_arrived_at(arrived_at);
        }
        let stream = LingeringClose::new(stream);
        let activity = Activity {
            idle_since: Cell::new(accepted_at),
            had_request: Cell::new(false),
            is_answering: Cell::new(false),
            receiving: Rc::default(),
            ended_at: stream.ended_at(),
        };
        let stream = Watched::observing(stream, client.bytes_read());
        let progress = stream.progress();
        progress.await_head();
        let source = RequestSource {
            over_limit,
            progress: &progress,
            client: &client,
            receiving: &activity.receiving,
        };
        let service = service_fn(async |request| {
            if activity.had_request.replace(true) {
                // Requests that a client sends at once take turns with those of other connections.
                yield_now().await;
            }
            activity.is_answering.set(true);
            if progress.has_conflicting_framing() {
                return Ok(close_after(empty_response(StatusCode::BAD_REQUEST)));
            }
            let reply = self.handle_request(request, source).await;
            activity.is_answering.set(false);
            activity.idle_since.set(Instant::now());
            reply
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(self.memory.http_buffer_bytes)
            .serve_connection(stream, service);
        self.drive(pin!(connection), &activity, idle_close).await;
    }

    /// Returns whether a connection that can close for `reason` has to.
    fn may_close(&self, reason: IdleCloseReason) -> bool {
        reason != IdleCloseReason::SlotsTaken || self.slots.must_make_room()
    }

    /// Polls a connection until it is closed by the client or the HTTP library, or because it is idle or the
    /// process drains.
    async fn drive<S>(
        &self,
        mut connection: Pin<&mut ClientConnection<S>>,
        activity: &Activity,
        mut idle_close: watch::Receiver<IdleCloseReason>,
    ) where
        S: Service<Request<Incoming>, Response = Reply, Error = Infallible>,
    {
        let mut idle_check = pin!(sleep(FIRST_REQUEST_TIMEOUT));
        let mut drain_delay_over = pin!(self.lifecycle.drain_delay_over());
        loop {
            let decision = tokio::select! {
                // Bytes that have arrived are read before a timer can close the connection.
                biased;
                // The result does not matter: the client is gone, and the end of its request, if any, was reported.
                _ = connection.as_mut() => return,
                () = &mut idle_check => {
                    let (decision, next_check) = activity.idle_timeout();
                    idle_check.as_mut().reset(next_check);
                    decision
                }
                () = &mut drain_delay_over => {
                    drain_delay_over.set(self.lifecycle.drain_delay_over());
                    activity.drained()
                }
                _ = idle_close.changed() => activity.asked_to_close(*idle_close.borrow(), |reason| self.may_close(reason)),
            };
            match decision {
                Decision::Drop => return,
                Decision::Continue => continue,
                Decision::CloseGracefully if activity.ended_at.get().is_some() => continue,
                Decision::CloseGracefully => {}
            }
            if !activity.had_request.get() {
                // Reads what has arrived and is not reported yet; the library reads nothing after its shutdown.
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    () = yield_now() => {}
                }
                if activity.had_request.get() {
                    continue;
                }
            }
            connection.as_mut().graceful_shutdown();
            if !activity.had_request.get() {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    // Does not wait: the rest of an incomplete head may never arrive.
                    () = ready(()) => if activity.ended_at.get().is_none() { return },
                }
            }
        }
    }
}
