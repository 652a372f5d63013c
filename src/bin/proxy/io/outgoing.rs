//! The body of a request as it is written to a backend: first the buffered part, then the streamed one.

use super::Progress;
use crate::body::ClaimedBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// A request's body, which records in the connection's [`Progress`] when the HTTP library has taken the last chunk.
pub struct Outgoing {
    /// The buffered part that has not been taken yet.
    buffered: Bytes,
    streamed: Option<ClaimedBody>,
    progress: Rc<Progress>,
}

impl Outgoing {
    /// Creates the body of the next request on the connection, and resets the connection's write progress.
    pub fn new(buffered: Bytes, streamed: Option<ClaimedBody>, progress: Rc<Progress>) -> Self {
        progress.begin();
        let body = Outgoing { buffered, streamed, progress };
        // The HTTP library does not poll an empty body.
        body.progress.body_taken.set(body.is_taken());
        body
    }

    /// Returns whether the HTTP library has taken the whole body.
    fn is_taken(&self) -> bool {
        self.buffered.is_empty() && self.streamed.as_ref().is_none_or(ClaimedBody::is_taken)
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.progress.is_abandoned() {
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        if self.streamed.as_ref().is_some_and(ClaimedBody::is_revoked) {
            return Poll::Pending;
        }
        let buffered = std::mem::take(&mut self.buffered);
        let next = match &mut self.streamed {
            _ if !buffered.is_empty() => Ok(Some(buffered)),
            None => Ok(None),
            Some(streamed) => ready!(streamed.poll_next(cx)),
        };
        if self.is_taken() {
            self.progress.body_taken.set(true);
        }
        Poll::Ready(next.transpose().map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.is_taken()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        match self.streamed.as_ref().map(ClaimedBody::length) {
            None => SizeHint::with_exact(buffered),
            Some(Some(streamed)) => SizeHint::with_exact(buffered + streamed),
            Some(None) => SizeHint::default(),
        }
    }
}
