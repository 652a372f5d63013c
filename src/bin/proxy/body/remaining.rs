//! The part of a request's body that was not buffered.
//!
//! The part is streamed once, to one attempt, as it is received. The request and the attempt share it: the request
//! waits for its end, the attempt reads it.

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

/// The state of a streamed body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// A part of the body has been received.
    InProgress,
    /// The complete body has been received, the last byte at this time.
    Complete(Instant),
    /// No more will be received: the client stopped or left, or the body is too long or was withdrawn.
    Broken,
}

/// The part of a request's body that was not buffered.
pub struct RemainingBody {
    /// The body to read; `None` once it has ended or was withdrawn.
    body: RefCell<Option<RateLimitedBody>>,
    length: Option<u64>,
    state: Cell<BodyState>,
    state_changed: Notify,
    was_passed_on: Cell<bool>,
    client: Weak<Client>,
    /// Time for which the client waits for the response after the last byte of the body.
    pub client_timeout: Duration,
}

impl RemainingBody {
    /// Wraps the unread part of `body`.
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

    /// Returns the length of this part in bytes, if the client announced it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the state of the body.
    pub fn state(&self) -> BodyState {
        self.state.get()
    }

    /// Returns whether an attempt has read from the body, after which the request cannot be sent again.
    pub fn was_passed_on(&self) -> bool {
        self.was_passed_on.get()
    }

    /// Waits until the body is complete or broken, and returns that state.
    pub async fn settled(&self) -> BodyState {
        while self.state() == BodyState::InProgress {
            self.state_changed.notified().await;
        }
        self.state()
    }

    /// Takes the body away from the attempt that reads it, so that the caller can drain the rest. Marks an
    /// incomplete body as broken.
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

    /// Polls for the next chunk of data for the attempt that sends the body; the chunk is `None` at the end.
    ///
    /// Fails with `BrokenPipe` once the body is broken or withdrawn, with `FileTooLarge` past [`MAX_BODY_BYTES`]
    /// bytes, and with the errors of [`RateLimitedBody::poll_next`].
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

    /// Records the arrival of the last byte.
    ///
    /// A client may send a long body and leave. If the system's buffers cannot hold the whole body, the end of the
    /// stream is visible only with the last byte. The body is then marked as broken, so that no call is made for a
    /// client that left.
    fn complete(&self) -> io::Result<()> {
        if self.client.upgrade().is_none_or(|client| client.has_left()) {
            self.settle(BodyState::Broken);
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.settle(BodyState::Complete(Instant::now()));
        Ok(())
    }
}
