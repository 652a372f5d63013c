//! The part of a request's body that was not buffered when the request was read.
//!
//! The client's connection receives it as it arrives (`receive.rs`), ahead of the attempt within the limits of
//! [`ReadAhead`]; the attempt that has the [`BodyClaim`] takes it from there. While nothing more may be received, the rest
//! waits in the system's buffers, which slows its client. The arrival of the last byte is then seen from the number of
//! bytes that wait there; where it cannot be seen, the client's time runs from when its last byte may have been written
//! ([`BodyArrival`]).

use super::arrival::BodyArrival;
use super::buffer_budget::BufferBudget;
use super::claim::BodyClaim;
use super::rate_limited_body::RateLimitedBody;
use super::read_ahead::ReadAhead;
use super::state::BodyState;
use crate::io::Client;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The part of a request's body that was not buffered.
pub struct RemainingBody {
    /// The body to receive; `None` once it has ended or was withdrawn.
    pub(super) source: RefCell<Option<RateLimitedBody>>,
    pub(super) received: RefCell<ReadAhead>,
    length: Option<u64>,
    pub(super) arrival: BodyArrival,
    state: Cell<BodyState>,
    state_changed: Notify,
    /// The attempt that waits for data.
    pub(super) waiting_attempt: RefCell<Option<Waker>>,
    /// Whether nothing more can be received before an attempt takes what is there, or invites the client.
    needs_attempt: Cell<bool>,
    /// Notified when the attempt took data or began to wait for it.
    pub(super) demand: Notify,
    /// Whether an attempt has a [`BodyClaim`].
    is_claimed: Cell<bool>,
    /// Whether an attempt has taken a piece.
    was_passed_on: Cell<bool>,
    /// Time for which the client waits for the response after the last byte of the body.
    pub client_timeout: Duration,
}

impl RemainingBody {
    /// Wraps the unread part of `body`, which begins at `begins_at` in the stream of `client`.
    pub fn new(
        body: RateLimitedBody,
        client_timeout: Duration,
        client: &Rc<Client>,
        begins_at: Option<u64>,
        budget: Rc<BufferBudget>,
    ) -> Self {
        let length = body.announced_bytes_left();
        RemainingBody {
            length,
            source: RefCell::new(Some(body)),
            received: RefCell::new(ReadAhead::new(budget)),
            arrival: BodyArrival::new(client, begins_at, length),
            state: Cell::new(BodyState::InProgress),
            state_changed: Notify::new(),
            waiting_attempt: RefCell::new(None),
            needs_attempt: Cell::new(false),
            demand: Notify::new(),
            is_claimed: Cell::new(false),
            was_passed_on: Cell::new(false),
            client_timeout,
        }
    }

    /// Returns the length of this part in bytes, if the client announced it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the state of the body.
    pub fn state(&self) -> BodyState {
        self.state.get()
    }

    /// Returns whether an attempt has taken data, after which the request cannot be sent again.
    pub fn was_passed_on(&self) -> bool {
        self.was_passed_on.get()
    }

    /// Claims the body for one attempt. Returns `None` while another attempt has it, and once a piece was taken: no other
    /// attempt could send the whole body.
    pub fn claim(self: &Rc<Self>) -> Option<BodyClaim> {
        if self.is_claimed.get() || self.was_passed_on() {
            return None;
        }
        self.is_claimed.set(true);
        Some(BodyClaim::new(self.clone()))
    }

    /// Ends the claim, so that the next attempt can have one. A connection that still waits for a piece gets none.
    pub(super) fn release_claim(&self) {
        self.is_claimed.set(false);
        self.waiting_attempt.take();
    }

    /// Returns whether the complete body was received, so that the next bytes of the client belong to its next request.
    pub fn is_received(&self) -> bool {
        matches!(self.state(), BodyState::Complete(_)) && self.source.borrow().is_none()
    }

    /// Returns whether the complete body was received and taken.
    pub fn is_taken(&self) -> bool {
        self.is_received() && self.received.borrow().is_empty()
    }

    /// Waits until the body is complete, or the rest needs an attempt that takes what is there.
    pub async fn sendable(&self) {
        while self.state() == BodyState::InProgress && !self.needs_attempt.get() {
            self.state_changed.notified().await;
        }
    }

    /// Records that the rest of the body needs an attempt.
    pub(super) fn await_attempt(&self) {
        if !self.needs_attempt.replace(true) {
            self.state_changed.notify_waiters();
        }
    }

    /// Returns how long the client still waits if its last byte may have been written, else its whole timeout.
    pub fn time_left(&self) -> Duration {
        let ends_at = self.arrival.may_have_ended_at().map(|at| at + self.client_timeout);
        ends_at.map_or(self.client_timeout, |at| at.saturating_duration_since(Instant::now()))
    }

    /// Waits until the body is no longer in progress, and returns its state.
    pub async fn settled(&self) -> BodyState {
        while self.state() == BodyState::InProgress {
            self.state_changed.notified().await;
        }
        self.state()
    }

    /// Takes the body away from the attempt that sends it. Marks a body that the attempt has not taken completely as
    /// broken.
    pub fn withdraw(&self) {
        if !self.is_taken() {
            self.fail();
        }
    }

    /// Withdraws the body, and returns what was not received of it, so that the caller can drain it.
    pub fn take_unreceived(&self) -> Option<RateLimitedBody> {
        self.withdraw();
        self.source.borrow_mut().take()
    }

    /// Takes the next piece for the attempt that has the claim; it is `None` at the end.
    ///
    /// Fails with `BrokenPipe` once the body can no longer be sent.
    pub(super) fn poll_take(&self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        if !self.state().can_be_sent() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let piece = self.received.borrow_mut().pop();
        if piece.is_some() || self.is_received() {
            // The end alone is no loss: the next attempt finds it too.
            self.was_passed_on.set(self.was_passed_on() || piece.is_some());
            self.demand.notify_one();
            return Poll::Ready(Ok(piece));
        }
        self.waiting_attempt.replace(Some(cx.waker().clone()));
        self.demand.notify_one();
        Poll::Pending
    }

    /// Records the arrival of the last byte.
    ///
    /// A client may send a long body and leave. If the system's buffers cannot hold the whole body, the end of the
    /// stream is visible only with the last byte. The body is then marked as broken, so that no call is made for a
    /// client that left.
    pub(super) fn complete(&self) {
        if self.arrival.client_has_left() {
            self.fail();
        } else if self.state() == BodyState::InProgress {
            self.settle(BodyState::Complete(self.arrival.ended_at()));
        }
    }

    /// Marks the body as broken and drops what was received of it.
    pub(super) fn fail(&self) {
        self.received.borrow_mut().clear();
        self.settle(BodyState::Broken);
        self.wake_attempt();
    }

    pub(super) fn settle(&self, state: BodyState) {
        self.state.set(state);
        self.state_changed.notify_waiters();
    }

    pub(super) fn wake_attempt(&self) {
        if let Some(waker) = self.waiting_attempt.take() {
            waker.wake();
        }
    }
}
