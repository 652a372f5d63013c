//! The part of a request's body that was not buffered.
//!
//! It is streamed once, to one attempt, as it is received. The request and the attempt share it: the request waits for
//! its end, the attempt reads it.

use super::MAX_BODY_BYTES;
use super::rate_floor::RateLimitedBody;
use crate::io::Client;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Weak;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How much of a streamed body has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// A part of it.
    InProgress,
    /// All of it; the last byte at this time.
    Complete(Instant),
    /// A part of it, and no more will be: its client stopped or left, or it is too long.
    Broken,
}

/// The part of a request's body that was not buffered.
pub struct RemainingBody {
    /// None once it has ended or was withdrawn.
    body: RefCell<Option<RateLimitedBody>>,
    length: Option<u64>,
    state: Cell<BodyState>,
    state_changed: Notify,
    was_passed_on: Cell<bool>,
    client: Weak<Client>,
    /// How long the client waits for its answer after the last byte.
    pub client_timeout: Duration,
}

impl RemainingBody {
    /// What `body` has not given yet.
    pub fn new(body: RateLimitedBody, client_timeout: Duration, client: Weak<Client>) -> Self {
        RemainingBody {
            length: body.announced_bytes_left(),
            body: RefCell::new(Some(body)),
            state: Cell::new(BodyState::InProgress),
            state_changed: Notify::new(),
            was_passed_on: Cell::new(false),
            client,
            client_timeout,
        }
    }

    /// Its length in bytes, if the client announced it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// How much of it has been received.
    pub fn state(&self) -> BodyState {
        self.state.get()
    }

    /// Whether an attempt has read some of it: the request cannot be sent again.
    pub fn was_passed_on(&self) -> bool {
        self.was_passed_on.get()
    }

    /// Waits until it is complete or broken.
    pub async fn settled(&self) -> BodyState {
        while self.state() == BodyState::InProgress {
            self.state_changed.notified().await;
        }
        self.state()
    }

    /// Takes it away from the attempt that reads it; what was not received can then be drained.
    pub fn withdraw(&self) -> Option<RateLimitedBody> {
        let body = self.body.borrow_mut().take();
        if self.state() == BodyState::InProgress {
            self.settle(BodyState::Broken);
        }
        body
    }

    fn settle(&self, state: BodyState) {
        self.state.set(state);
        self.state_changed.notify_waiters();
    }

    /// Polls for the next piece of data, for the one attempt that is out; none at the end.
    ///
    /// Fails with `BrokenPipe` once it is broken or withdrawn, with `FileTooLarge` past [`MAX_BODY_BYTES`] bytes, and with
    /// the errors of [`RateLimitedBody::poll_next`].
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        let mut slot = self.body.borrow_mut();
        let Some(body) = slot.as_mut() else {
            let is_complete = matches!(self.state(), BodyState::Complete(_));
            return Poll::Ready(if is_complete { Ok(None) } else { Err(io::ErrorKind::BrokenPipe.into()) });
        };
        let Poll::Ready(next) = body.poll_next(cx) else { return Poll::Pending };
        self.was_passed_on.set(true);
        let is_too_long = body.received_bytes() > MAX_BODY_BYTES;
        match next {
            Ok(data) if !is_too_long => {
                if data.is_none() || body.is_complete() {
                    *slot = None;
                    self.complete()?;
                }
                Poll::Ready(Ok(data))
            }
            failed => {
                *slot = None;
                self.settle(BodyState::Broken);
                Poll::Ready(failed.and(Err(io::ErrorKind::FileTooLarge.into())))
            }
        }
    }

    /// Records the last byte.
    ///
    /// Failure: a client sends a long body and leaves; where the system's buffers could not hold all of it, the end of
    /// its stream is seen only with the last byte. The request is broken then, so that no call is made for nobody.
    fn complete(&self) -> io::Result<()> {
        if self.client.upgrade().is_none_or(|client| client.has_left()) {
            self.settle(BodyState::Broken);
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.settle(BodyState::Complete(Instant::now()));
        Ok(())
    }
}
