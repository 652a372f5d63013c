//! The part of a request's body that was not buffered when the request was read.
//!
//! The request and the one attempt that sends this part share it. The client's connection receives it as it arrives,
//! ahead of the attempt within the limits of [`ReadAhead`]; the attempt takes it from there. While nothing more may be
//! received, the rest waits in the system's buffers, which slows its client. The arrival of the last byte is then seen
//! from the number of bytes that wait there; where it cannot be seen, the client's time runs from when its last byte may
//! have been written ([`BodyArrival`]).

use super::MAX_BODY_BYTES;
use super::arrival::BodyArrival;
use super::buffer_budget::BufferBudget;
use super::rate_floor::RateLimitedBody;
use super::read_ahead::ReadAhead;
use super::state::BodyState;
use crate::io::Client;
use crate::upstream::deadline_margin;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Interval at which a body that is not received checks for memory and for the arrival of its last byte.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The part of a request's body that was not buffered.
pub struct RemainingBody {
    /// The body to receive; `None` once it has ended or was withdrawn.
    source: RefCell<Option<RateLimitedBody>>,
    received: RefCell<ReadAhead>,
    length: Option<u64>,
    arrival: BodyArrival,
    state: Cell<BodyState>,
    state_changed: Notify,
    /// The attempt that waits for data.
    waiting_attempt: RefCell<Option<Waker>>,
    /// Whether nothing more can be received before an attempt takes what is there, or invites the client.
    needs_attempt: Cell<bool>,
    /// Notified when the attempt took data or began to wait for it.
    demand: Notify,
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

    /// Returns whether the complete body was received, so that the next bytes of the client belong to its next request.
    pub fn is_received(&self) -> bool {
        matches!(self.state(), BodyState::Complete(_)) && self.source.borrow().is_none()
    }

    /// Returns whether the attempt has taken the complete body.
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
    fn await_attempt(&self) {
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

    /// Receives the body as it arrives, until it is complete or broken. Only the client's connection may call this.
    ///
    /// A client that expects a `100 Continue` gets it when an attempt asks for the body.
    pub async fn receive(&self, expects_continue: bool) {
        if expects_continue {
            self.wait_until_invited().await;
        }
        loop {
            self.wait_for_room().await;
            if poll_fn(|cx| self.poll_receive(cx)).await {
                return;
            }
        }
    }

    /// Waits until an attempt asks for the body, or the client sends it unasked.
    async fn wait_until_invited(&self) {
        self.await_attempt();
        while self.waiting_attempt.borrow().is_none() && !self.arrival.has_begun() {
            self.wait_for_demand().await;
            self.arrival.update();
        }
    }

    /// Waits until more may be received.
    async fn wait_for_room(&self) {
        while !self.may_receive() {
            self.await_attempt();
            self.wait_and_check_arrival().await;
        }
    }

    /// Returns whether more may be received: for an attempt that waits, or ahead of it while the arrival of the last
    /// byte is not known.
    fn may_receive(&self) -> bool {
        let mut received = self.received.borrow_mut();
        let is_wanted = received.is_empty() && self.waiting_attempt.borrow().is_some();
        is_wanted || self.state() == BodyState::InProgress && received.reserve()
    }

    /// Waits for demand or for the check interval, and then checks whether the last byte has arrived.
    async fn wait_and_check_arrival(&self) {
        let is_wanted = self.wait_for_demand().await;
        if self.state() != BodyState::InProgress {
            return;
        }
        if !is_wanted {
            self.arrival.not_read();
        }
        self.arrival.update();
        if self.arrival.has_ended() {
            self.complete();
        }
        self.check_overdue();
    }

    /// Waits for demand, while the body is in progress at most for the check interval. Returns whether there is demand.
    async fn wait_for_demand(&self) -> bool {
        if self.state() != BodyState::InProgress {
            self.demand.notified().await;
            return true;
        }
        tokio::select! {
            () = self.demand.notified() => true,
            () = sleep(ARRIVAL_CHECK_INTERVAL) => false,
        }
    }

    /// Ends a body whose client's time may be over.
    fn check_overdue(&self) {
        if self.state() == BodyState::InProgress && self.time_left() <= deadline_margin(self.client_timeout) {
            self.received.borrow_mut().clear();
            self.settle(BodyState::Overdue);
            self.wake_attempt();
        }
    }

    /// Receives the next piece. Returns whether the body has ended.
    fn poll_receive(&self, cx: &mut Context<'_>) -> Poll<bool> {
        let mut source = self.source.borrow_mut();
        let Some(body) = source.as_mut() else { return Poll::Ready(true) };
        let Poll::Ready(next) = body.poll_next(cx) else {
            self.arrival.found_dry();
            return Poll::Pending;
        };
        self.arrival.piece_read();
        let piece = match next {
            Ok(piece) if body.received_bytes() <= MAX_BODY_BYTES => piece,
            _ => {
                *source = None;
                self.fail();
                return Poll::Ready(true);
            }
        };
        let has_ended = piece.is_none() || body.is_complete();
        if has_ended {
            *source = None;
        }
        if let Some(piece) = piece {
            self.received.borrow_mut().push(piece);
        }
        if has_ended {
            self.received.borrow_mut().finish();
            self.complete();
        }
        self.check_overdue();
        self.wake_attempt();
        Poll::Ready(has_ended)
    }

    /// Takes the next piece for the attempt that sends the body; it is `None` at the end.
    ///
    /// Fails with `BrokenPipe` once the body can no longer be sent.
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        if !self.state().can_be_sent() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let piece = self.received.borrow_mut().pop();
        if piece.is_some() || self.is_received() {
            self.was_passed_on.set(true);
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
    fn complete(&self) {
        if self.arrival.client_has_left() {
            self.fail();
        } else if self.state() == BodyState::InProgress {
            self.settle(BodyState::Complete(self.arrival.ended_at()));
        }
    }

    /// Marks the body as broken and drops what was received of it.
    fn fail(&self) {
        self.received.borrow_mut().clear();
        self.settle(BodyState::Broken);
        self.wake_attempt();
    }

    fn settle(&self, state: BodyState) {
        self.state.set(state);
        self.state_changed.notify_waiters();
    }

    fn wake_attempt(&self) {
        if let Some(waker) = self.waiting_attempt.take() {
            waker.wake();
        }
    }
}
