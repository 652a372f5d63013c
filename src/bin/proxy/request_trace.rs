//! Log of one request's phases at level `debug`, each with the time since its head was read.
//!
//! The lines tell a body that arrives late from one that is read late, a slow connect from a slow backend, and the time
//! that a backend is told from the time that is left.

use crate::body::BodyState;
use hyper::Response;
use hyper::header::HeaderValue;
use load_balancer::interface::Outcome;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// The name of a request in the log, and the time from which its phases are counted.
pub struct RequestTrace {
    id: HeaderValue,
    head_read_at: Instant,
}

impl RequestTrace {
    /// Begins the trace of a request whose head was read, and the buffered part of its body.
    pub fn start(id: HeaderValue, client_timeout: Duration, body_is_complete: bool) -> Self {
        let trace = RequestTrace { id, head_read_at: Instant::now() };
        let body = if body_is_complete { "its whole body" } else { "a part of its body" };
        trace.log(format_args!(
            "head read with {body}, the client waits for {} ms",
            client_timeout.as_millis()
        ));
        trace
    }

    /// Logs the end of the body.
    pub fn body_ended(&self, state: BodyState) {
        match state {
            BodyState::Complete(at) => {
                let arrived_ms = at.saturating_duration_since(self.head_read_at).as_millis();
                self.log(format_args!("body complete, its time counts from {arrived_ms} ms"));
            }
            BodyState::Overdue => {
                self.log(format_args!("body overdue: its end is not seen, and its time may be over"))
            }
            BodyState::InProgress | BodyState::Broken => self.log(format_args!("body broken")),
        }
    }

    /// Logs that the request is not sent because its id may have run.
    pub fn may_have_run(&self) {
        self.log(format_args!("not sent: its id was sent before and may have run"));
    }

    /// Logs the start of an attempt.
    pub fn attempt_started(&self, number: usize, address: SocketAddr) {
        self.log(format_args!("attempt {number} at {address} started"));
    }

    /// Logs that an attempt has a connection, and the time that the backend is told.
    pub fn forwarded(&self, address: SocketAddr, told_ms: u64) {
        self.log(format_args!("forwarded to {address}, which is told {told_ms} ms"));
    }

    /// Logs the end of an attempt.
    pub fn attempt_ended(&self, number: usize, outcome: Outcome) {
        self.log(format_args!("attempt {number} ended: {outcome:?}"));
    }

    /// Logs the status of the answer, and returns it.
    pub fn answered<B>(&self, answer: Response<B>) -> Response<B> {
        self.log(format_args!("answered {}", answer.status().as_u16()));
        answer
    }

    fn log(&self, what: std::fmt::Arguments<'_>) {
        let id = String::from_utf8_lossy(self.id.as_bytes());
        debug!("request {id}: {what} after {} ms", self.head_read_at.elapsed().as_millis());
    }
}
