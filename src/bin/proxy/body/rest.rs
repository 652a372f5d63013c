//! What of a request's body was not held.

use super::{LARGEST, Paced};
use crate::io::Client;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Weak;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How far a request's body that flows has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It comes still.
    Coming,
    /// Its last byte came at this time.
    Whole(Instant),
    /// Its client stopped or left.
    Broken,
}

/// What of a request's body was not held: it is passed on once, as it comes.
pub struct Rest {
    flow: RefCell<Option<Paced>>,
    length: Option<u64>,
    state: Cell<Flow>,
    changed: Notify,
    passed: Cell<bool>,
    client: Weak<Client>,
    /// How long the client waits from its last byte on.
    pub patience: Duration,
}

impl Rest {
    /// The rest of a client's body.
    pub fn new(flow: Paced, patience: Duration, client: Weak<Client>) -> Self {
        let length = flow.left();
        let flow = RefCell::new(Some(flow));
        let (state, changed, passed) = (Cell::new(Flow::Coming), Notify::new(), Cell::new(false));
        Rest { flow, length, state, changed, passed, client, patience }
    }

    /// Its length, if that was told.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// How far it has come.
    pub fn state(&self) -> Flow {
        self.state.get()
    }

    /// Whether some of it was passed on: the request cannot be sent again.
    pub fn passed(&self) -> bool {
        self.passed.get()
    }

    /// Waits until it no longer comes.
    pub async fn settled(&self) -> Flow {
        while self.state() == Flow::Coming {
            self.changed.notified().await;
        }
        self.state()
    }

    /// Takes it away from whoever passes it on; what has not come yet can then be read to its end.
    pub fn withdraw(&self) -> Option<Paced> {
        let flow = self.flow.borrow_mut().take();
        if self.state() == Flow::Coming {
            self.settle(Flow::Broken);
        }
        flow
    }

    fn settle(&self, state: Flow) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    /// The next piece for the one attempt that is out.
    pub fn poll_next(&self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        let mut flow = self.flow.borrow_mut();
        let Some(paced) = flow.as_mut() else {
            let over = matches!(self.state(), Flow::Whole(_));
            return Poll::Ready(if over { Ok(None) } else { Err(io::ErrorKind::BrokenPipe.into()) });
        };
        let Poll::Ready(next) = paced.poll_next(cx) else { return Poll::Pending };
        self.passed.set(true);
        let too_long = paced.came() > LARGEST;
        match next {
            Ok(piece) if !too_long => {
                if piece.is_none() || paced.over() {
                    *flow = None;
                    // Where the system had no room for all of it, the client's end comes with the last byte only.
                    if self.client.upgrade().is_none_or(|client| client.left()) {
                        self.settle(Flow::Broken);
                        return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
                    }
                    self.settle(Flow::Whole(Instant::now()));
                }
                Poll::Ready(Ok(piece))
            }
            next => {
                *flow = None;
                self.settle(Flow::Broken);
                Poll::Ready(next.and(Err(io::ErrorKind::FileTooLarge.into())))
            }
        }
    }
}
