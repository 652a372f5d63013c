//! One client's connection: its requests one after the other, and its close.
//!
//! Acts from the accept to the close of the connection, also on timers and when idle connections are asked to close. Owns
//! the stream and when the connection fell idle.

use super::Downstream;
use super::handle::RequestSource;
use super::lingering_close::LingeringClose;
use super::respond::{Reply, closing, plain};
use crate::body;
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
use tokio::time::{Instant, sleep};

/// A client may take so long to send a request's head, and may be idle for so long before it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// A client that has sent no request's head so long after it connected is closed. It is owed an error or a close within 3 s
/// whatever the settings: its deadline does not count yet, since that begins with a request's last byte.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle for so long, a connection is closed: before the HTTP library does it at [`HEAD_TIMEOUT`], without a lingering
/// close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(55);
/// At the limit of connections, one that is idle for so long is closed. Not the newest ones: their requests are on their
/// way.
const IDLE_TIMEOUT_AT_LIMIT: Duration = Duration::from_secs(1);
/// A connection that has ended our side and only awaits the client's is dropped after so long: a round trip or two.
pub(super) const CLOSED_GRACE: Duration = Duration::from_millis(100);

/// A client's connection as the HTTP library serves it.
type ClientConnection<S> = http1::Connection<Watched<LingeringClose<ClientStream>>, S>;

/// Why idle connections are asked to close.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleCloseReason {
    /// The limit of connections is reached: idle ones close, and those that only await the client's end.
    LimitReached,
    /// The process stops: those that only await the client's end close.
    Stopping,
}

/// What the connection knows of its client's requests.
struct Activity {
    idle_since: Cell<Instant>,
    /// Whether a request's head has arrived.
    had_request: Cell<bool>,
    /// When our side of the stream was ended.
    ended_at: Rc<Cell<Option<Instant>>>,
}

/// What follows from a timer or a message.
enum Decision {
    Continue,
    /// Close once what is being served is answered.
    CloseGracefully,
    /// Drop the connection now.
    Drop,
}

impl Activity {
    /// The idle timeout may have passed; when it has to be looked at again.
    fn idle_timeout(&self) -> (Decision, Instant) {
        let now = Instant::now();
        let expires_at = self.idle_since.get() + IDLE_TIMEOUT;
        let decision = if !self.had_request.get() || now >= expires_at {
            Decision::CloseGracefully
        } else {
            Decision::Continue
        };
        (decision, expires_at.max(now + FIRST_REQUEST_TIMEOUT))
    }

    /// The process drains. A first request that is still on its way must not be closed on; its response closes the
    /// connection.
    fn drained(&self) -> Decision {
        if self.had_request.get() { Decision::CloseGracefully } else { Decision::Continue }
    }

    fn asked_to_close(&self, reason: IdleCloseReason) -> Decision {
        if self.ended_at.get().is_some_and(|at| at.elapsed() > CLOSED_GRACE) {
            return Decision::Drop;
        }
        let idle_long = self.idle_since.get().elapsed() > IDLE_TIMEOUT_AT_LIMIT;
        if reason == IdleCloseReason::LimitReached && idle_long {
            Decision::CloseGracefully
        } else {
            Decision::Continue
        }
    }
}

impl Downstream {
    /// Serves one client until its connection is closed.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        idle_close: watch::Receiver<IdleCloseReason>,
        over_limit: bool,
    ) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = ClientStream::new(stream);
        let client = stream.client();
        let stream = LingeringClose::new(stream);
        let activity = Activity {
            idle_since: Cell::new(Instant::now()),
            had_request: Cell::new(false),
            ended_at: stream.ended_at(),
        };
        let stream = Watched::new(stream);
        let progress = stream.progress();
        progress.await_head();
        let source = RequestSource { over_limit, progress: &progress, client: &client };
        let service = service_fn(async |request| {
            activity.had_request.set(true);
            if progress.has_conflicting_framing() {
                return Ok(closing(plain(StatusCode::BAD_REQUEST)));
            }
            let reply = self.handle_request(request, source).await;
            activity.idle_since.set(Instant::now());
            reply
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(body::BUFFER)
            .serve_connection(stream, service);
        self.drive(pin!(connection), &activity, idle_close).await;
    }

    /// Drives a connection until it is closed: by the client, by the HTTP library, or because it is idle or the process
    /// drains.
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
                // What has arrived is read before anything is closed on it.
                biased;
                // However it ends, the client is gone, and the end of its request, if any, was reported.
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
                _ = idle_close.changed() => activity.asked_to_close(*idle_close.borrow()),
            };
            match decision {
                Decision::Drop => return,
                Decision::Continue => continue,
                Decision::CloseGracefully if activity.ended_at.get().is_some() => continue,
                Decision::CloseGracefully => connection.as_mut().graceful_shutdown(),
            }
            if !activity.had_request.get() {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    // Guards against a wait for the rest of half a head: one poll of the connection, and no more.
                    () = ready(()) => if activity.ended_at.get().is_none() { return },
                }
            }
        }
    }
}
