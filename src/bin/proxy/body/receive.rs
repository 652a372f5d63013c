//! Receives the unbuffered part of a request's body on its client's connection.

use super::MAX_BODY_BYTES;
use super::remaining::RemainingBody;
use super::state::BodyState;
use crate::upstream::deadline_margin;
use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which a body that is not received checks for memory and for the arrival of its last byte.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl RemainingBody {
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
}
