//! The body of a request that goes out.

use super::Progress;
use crate::body::{Flow, Rest};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A request's body; tells when the HTTP library has taken it.
pub struct Outgoing {
    held: Bytes,
    rest: Option<Rc<Rest>>,
    progress: Rc<Progress>,
}

impl Outgoing {
    /// The body of the request that is about to be written.
    pub fn new(held: Bytes, rest: Option<Rc<Rest>>, progress: Rc<Progress>) -> Self {
        progress.begin();
        // The library does not ask for a body that is empty.
        progress.body_taken.set(held.is_empty() && rest.is_none());
        Outgoing { held, rest, progress }
    }

    fn over(&self) -> bool {
        let whole = |r: &Rc<Rest>| matches!(r.state(), Flow::Whole(_));
        self.held.is_empty() && self.rest.as_ref().is_none_or(whole)
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let held = std::mem::take(&mut self.held);
        let next = match &self.rest {
            _ if !held.is_empty() => Ok(Some(held)),
            None => Ok(None),
            Some(rest) => match rest.poll_next(cx) {
                Poll::Ready(next) => next,
                Poll::Pending => return Poll::Pending,
            },
        };
        if self.over() {
            self.progress.body_taken.set(true);
        }
        Poll::Ready(next.transpose().map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.over()
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        match self.rest.as_ref().map(|r| r.length()) {
            None => SizeHint::with_exact(held),
            Some(Some(rest)) => SizeHint::with_exact(held + rest),
            Some(None) => SizeHint::default(),
        }
    }
}
