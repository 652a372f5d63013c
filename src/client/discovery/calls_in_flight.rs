//! Calls for the endpoint list that are in flight: at most three, of which the first complete answer is used.
//!
//! - The awaited calls belong to the poll in progress, the oldest first. The oldest is the current call. The others are
//!   later watches, whose registry answers late, and at most one hedge. The hedge is replaced at each hedge interval,
//!   since a registry that was restarted never answers the calls that it accepted before its restart.
//! - The overdue call was the current one of an earlier poll that timed out. It is kept, since a registry that is slow
//!   may still answer it, and would be loaded more if each of its answers was awaited for a shorter time than it takes.

use crate::client::list::ListPage;
use crate::client::registry::{CallError, Connection};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// Most calls that are in flight.
const MAX_CALLS: usize = 3;

/// Registry and parameters of one call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListRequest {
    pub(super) registry: SocketAddr,
    /// Version after which to watch for changes; `None` requests the full list.
    pub(super) after: Option<u64>,
    /// Time for which the registry may delay its answer.
    pub(super) wait: Duration,
}

impl ListRequest {
    /// Returns whether an answer to `other` is also one to this request: they differ in the wait alone.
    fn is_same_apart_from_wait(self, other: ListRequest) -> bool {
        ListRequest { wait: self.wait, ..other } == self
    }
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

/// Call that has ended.
pub(super) struct EndedCall {
    /// Whether it was the overdue call.
    pub(super) was_overdue: bool,
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
    awaited: VecDeque<PendingCall>,
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

    /// Returns the time from which the answer is late.
    fn awaited_from(&self) -> Instant {
        self.started + self.request.wait
    }

    fn is_watch(&self) -> bool {
        !self.request.wait.is_zero()
    }

    fn poll_end(&mut self, was_overdue: bool, context: &mut Context<'_>) -> Poll<EndedCall> {
        let result = self.answer.as_mut().poll(context);
        result.map(|result| EndedCall {
            was_overdue,
            request: self.request,
            elapsed: self.started.elapsed(),
            result,
        })
    }
}

impl CallsInFlight {
    /// Adds an awaited call, which is current if no other is awaited. Must not be called while [`Self::is_full`].
    pub(super) fn add(&mut self, call: PendingCall) {
        self.awaited.push_back(call);
    }

    /// Adds a hedge, in place of an earlier one. If that is not enough room, the oldest call makes room for it.
    pub(super) fn set_hedge(&mut self, call: PendingCall) {
        let newest_is_hedge =
            self.awaited.len() > 1 && self.awaited.back().is_some_and(|call| !call.is_watch());
        if newest_is_hedge {
            self.awaited.pop_back();
        }
        if self.is_full() && self.overdue.take().is_none() {
            self.awaited.pop_front();
        }
        self.awaited.push_back(call);
    }

    /// Drops the awaited calls that are not the same request apart from the wait. Returns the time from which the
    /// current call's answer is late, or `None` if no call is left.
    pub(super) fn keep_awaited(&mut self, request: ListRequest) -> Option<Instant> {
        self.awaited.retain(|call| request.is_same_apart_from_wait(call.request));
        self.awaited.front().map(PendingCall::awaited_from)
    }

    /// Returns the time from which the newest awaited call's answer is late, or `None` if no call is awaited.
    pub(super) fn newest_awaited_from(&self) -> Option<Instant> {
        self.awaited.back().map(PendingCall::awaited_from)
    }

    /// Returns whether any call is awaited.
    pub(super) fn has_awaited(&self) -> bool {
        !self.awaited.is_empty()
    }

    /// Returns whether a further call would exceed the limit.
    pub(super) fn is_full(&self) -> bool {
        self.awaited.len() + usize::from(self.overdue.is_some()) >= MAX_CALLS
    }

    /// Makes the current call the overdue one, which is kept until `keep_until`; drops it if an earlier call is still
    /// kept.
    pub(super) fn retire_current(&mut self, keep_until: Instant) {
        let is_kept = self.overdue.as_ref().is_some_and(|overdue| Instant::now() < overdue.keep_until);
        match self.awaited.pop_front() {
            Some(call) if !is_kept => self.overdue = Some(OverdueCall { call, keep_until }),
            _ => {}
        }
    }

    /// Drops all calls.
    pub(super) fn cancel_all(&mut self) {
        *self = CallsInFlight::default();
    }

    /// Waits until any call ends, and removes it. If it was answered, only watches that began later stay in flight.
    /// Never returns while no call is in flight.
    pub(super) async fn next_ended(&mut self) -> EndedCall {
        poll_fn(|context| self.poll_ended(context)).await
    }

    /// Polls the newest call first: a registry that is back after an outage may answer all calls at once, and the
    /// newest one tells how late its answers are from now on.
    fn poll_ended(&mut self, context: &mut Context<'_>) -> Poll<EndedCall> {
        for position in (0..self.awaited.len()).rev() {
            if let Poll::Ready(ended) = self.awaited[position].poll_end(false, context) {
                self.awaited.remove(position);
                self.drop_outdated(position, &ended);
                return Poll::Ready(ended);
            }
        }
        let Some(overdue) = &mut self.overdue else { return Poll::Pending };
        let poll = overdue.call.poll_end(true, context);
        poll.map(|ended| {
            self.overdue = None;
            self.drop_outdated(0, &ended);
            ended
        })
    }

    /// Drops all but the watches from `position` on, if the call before them was answered.
    fn drop_outdated(&mut self, position: usize, ended: &EndedCall) {
        if ended.result.is_ok() {
            self.overdue = None;
            self.awaited.drain(..position);
            self.awaited.retain(PendingCall::is_watch);
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/discovery/calls_in_flight.rs"]
mod tests;
