//! The right to take the streamed part of a request's body, which one attempt has at a time.
//!
//! [`RemainingBody::claim`] gives a [`BodyClaim`] while no other attempt has one and nothing was taken. The attempt keeps
//! it, and its connection writes the body through a [`ClaimedBody`], which ends with the claim: a connection that goes on
//! after its attempt can take nothing that belongs to the next one.

use super::RemainingBody;
use bytes::Bytes;
use std::io;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};

/// The right of one attempt to take a body, which ends when this is dropped.
pub struct BodyClaim(Rc<Claimed>);

/// A body that is claimed until this is dropped.
struct Claimed(Rc<RemainingBody>);

impl Drop for Claimed {
    fn drop(&mut self) {
        self.0.release_claim();
    }
}

impl BodyClaim {
    /// Creates the claim to a body; only the body itself may call this, for one claim at a time.
    pub(super) fn new(body: Rc<RemainingBody>) -> Self {
        BodyClaim(Rc::new(Claimed(body)))
    }

    /// Returns the body for the connection that writes it, for as long as the claim lasts.
    pub fn body(&self) -> ClaimedBody {
        let body = &self.0.0;
        ClaimedBody { claimed: Rc::downgrade(&self.0), length: body.length(), is_taken: body.is_taken() }
    }
}

/// The streamed part of a body as one attempt's connection takes it.
pub struct ClaimedBody {
    claimed: Weak<Claimed>,
    length: Option<u64>,
    /// Whether this connection has taken the whole body.
    is_taken: bool,
}

impl ClaimedBody {
    /// Returns the length of the streamed part in bytes, if the client announced it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether this connection has taken the body to its end.
    pub fn is_taken(&self) -> bool {
        self.is_taken
    }

    /// Returns whether the attempt has ended before this connection had taken the whole body.
    pub fn is_revoked(&self) -> bool {
        !self.is_taken && self.claimed.strong_count() == 0
    }

    /// Takes the next piece; it is `None` at the end of the client's body. Fails once the body can no longer be sent.
    ///
    /// Never returns after the claim: the body has no end here, and the connection closes with its attempt.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        if self.is_taken {
            return Poll::Ready(Ok(None));
        }
        let Some(claimed) = self.claimed.upgrade() else { return Poll::Pending };
        let piece = ready!(claimed.0.poll_take(cx))?;
        self.is_taken = claimed.0.is_taken();
        Poll::Ready(Ok(piece))
    }
}
