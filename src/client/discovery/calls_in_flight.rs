//! Calls for the endpoint list that are in flight: at most three, of which the first complete answer is used.
//!
//! - The current call belongs to the poll in progress.
//! - The hedge is the newest call. It is replaced at each hedge interval, since a registry that was restarted never
//!   answers the calls that it accepted before its restart.
//! - The overdue call was the current one of an earlier poll that timed out. It is kept, since a registry that is slow
//!   may still answer it, and would be loaded more if each of its answers was awaited for a shorter time than it takes.

use crate::client::list::ListPage;
use crate::client::registry::{CallError, Connection};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Registry and parameters of one call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListRequest {
    pub(super) registry: SocketAddr,
    /// Version after which to watch for changes; `None` requests the full list.
    pub(super) after: Option<u64>,
    /// Time for which the registry may delay its answer.
    pub(super) wait: Duration,
}

/// Parsed answer to a call, and its connection if that can be kept.
pub(super) struct ListAnswer {
    pub(super) page: ListPage,
    pub(super) connection: Option<Connection>,
}

/// Result of a call, which may still be pending.
type PendingAnswer = Pin<Box<dyn Future<Output = Result<ListAnswer, CallError>>>>;

/// Call whose answer is awaited.
pub(super) struct PendingCall {
    request: ListRequest,
    started: Instant,
    answer: PendingAnswer,
}

/// Place of a call among those in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Current,
    Hedge,
    Overdue,
}

/// Call that has ended.
pub(super) struct EndedCall {
    pub(super) role: Role,
    pub(super) request: ListRequest,
    /// Time from the start of the call to its end.
    pub(super) elapsed: Duration,
    pub(super) result: Result<ListAnswer, CallError>,
}

/// Overdue call, which is dropped for a newer one after its time limit.
struct OverdueCall {
    call: PendingCall,
    keep_until: Instant,
}

/// Calls in flight; dropping one closes its connection.
#[derive(Default)]
pub(super) struct CallsInFlight {
    current: Option<PendingCall>,
    hedge: Option<PendingCall>,
    overdue: Option<OverdueCall>,
}

impl PendingCall {
    /// Creates a call that starts when its answer is first awaited.
    pub(super) fn new(
        request: ListRequest,
        answer: impl Future<Output = Result<ListAnswer, CallError>> + 'static,
    ) -> Self {
        PendingCall { request, started: Instant::now(), answer: Box::pin(answer) }
    }

    fn poll_end(&mut self, role: Role, context: &mut Context<'_>) -> Poll<EndedCall> {
        let result = self.answer.as_mut().poll(context);
        result.map(|result| EndedCall {
            role,
            request: self.request,
            elapsed: self.started.elapsed(),
            result,
        })
    }
}

impl CallsInFlight {
    /// Makes `call` the current one; an earlier current call is dropped.
    pub(super) fn set_current(&mut self, call: PendingCall) {
        self.current = Some(call);
    }

    /// Makes `call` the hedge; an earlier hedge is dropped.
    pub(super) fn set_hedge(&mut self, call: PendingCall) {
        self.hedge = Some(call);
    }

    /// Makes the hedge the current call if it is the same request, apart from its wait. Returns the time at which it
    /// started, or `None` if there is no such hedge; another hedge is dropped.
    pub(super) fn promote_hedge(&mut self, request: ListRequest) -> Option<Instant> {
        let is_same = |hedge: &PendingCall| ListRequest { wait: request.wait, ..hedge.request } == request;
        let hedge = self.hedge.take().filter(is_same)?;
        let started = hedge.started;
        self.current = Some(hedge);
        Some(started)
    }

    /// Makes the current call the overdue one, which is kept until `keep_until`; drops it if an earlier call is still
    /// kept.
    pub(super) fn retire_current(&mut self, keep_until: Instant) {
        let is_kept = self.overdue.as_ref().is_some_and(|overdue| Instant::now() < overdue.keep_until);
        match self.current.take() {
            Some(call) if !is_kept => self.overdue = Some(OverdueCall { call, keep_until }),
            _ => {}
        }
    }

    /// Drops all calls.
    pub(super) fn cancel_all(&mut self) {
        *self = CallsInFlight::default();
    }

    /// Waits until any call ends, and removes it. Never returns while no call is in flight.
    pub(super) async fn next_ended(&mut self) -> EndedCall {
        poll_fn(|context| self.poll_ended(context)).await
    }

    /// Polls the newest call first: a registry that is back after an outage may answer all calls at once, and the
    /// newest one tells how late its answers are from now on.
    fn poll_ended(&mut self, context: &mut Context<'_>) -> Poll<EndedCall> {
        for role in [Role::Hedge, Role::Current, Role::Overdue] {
            let Some(call) = self.call_mut(role) else { continue };
            if let Poll::Ready(ended) = call.poll_end(role, context) {
                self.remove(role);
                return Poll::Ready(ended);
            }
        }
        Poll::Pending
    }

    fn call_mut(&mut self, role: Role) -> Option<&mut PendingCall> {
        match role {
            Role::Current => self.current.as_mut(),
            Role::Hedge => self.hedge.as_mut(),
            Role::Overdue => self.overdue.as_mut().map(|overdue| &mut overdue.call),
        }
    }

    fn remove(&mut self, role: Role) {
        match role {
            Role::Current => self.current = None,
            Role::Hedge => self.hedge = None,
            Role::Overdue => self.overdue = None,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/calls_in_flight.rs"]
mod tests;
