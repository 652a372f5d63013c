//! Bodies that flow: taken from one side only as the other side takes them, and never waited for without end.

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep};

/// Bodies up to this are held whole, and can be sent again.
pub const SMALL: usize = 64 * 1024;
/// Longest body that is passed on.
pub const LARGEST: u64 = 32 << 20;
/// Size of the HTTP library's buffers: one for each direction of a connection.
pub const BUFFER: usize = 16 * 1024;

/// Room for the bodies that are held, of all requests together. Where it is gone, small ones flow like long ones.
pub struct Room(Cell<usize>);

/// A part of the room; given back when dropped.
pub struct Held {
    room: Rc<Room>,
    bytes: usize,
}

impl Room {
    /// Room for so many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(Room(Cell::new(bytes)))
    }

    /// Room for a body of this length; for one that does not tell it, for the longest that is held. `None` where
    /// there is none, or where it is too long to be held.
    pub fn take(self: &Rc<Self>, length: Option<u64>) -> Option<Held> {
        let bytes = usize::try_from(length.unwrap_or(SMALL as u64)).ok().filter(|n| *n <= SMALL)?;
        self.0.set(self.0.get().checked_sub(bytes)?);
        Some(Held { room: self.clone(), bytes })
    }
}

impl Held {
    /// It turned out to be no longer than this.
    pub fn shrink(&mut self, bytes: usize) {
        let spare = self.bytes.saturating_sub(bytes);
        self.bytes -= spare;
        self.room.0.update(|n| n + spare);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room.0.update(|n| n + self.bytes);
    }
}

/// How slow a peer may be.
#[derive(Clone, Copy)]
pub struct Pace {
    /// It may give nothing for so long.
    pub stall: Duration,
    /// We wait for it for so long in all ...
    pub slack: Duration,
    /// ... and for a second more with each so many bytes.
    pub bytes_per_s: f64,
}

/// A client that writes its request. Who stops half-way hears so within 3 s of connecting; proper ones write
/// 64 kB a second.
pub const CLIENT: Pace =
    Pace { stall: Duration::from_secs(2), slack: Duration::from_secs(5), bytes_per_s: 16_000.0 };
/// A backend that writes a long answer; what it still gives is passed on, however slow.
pub const BACKEND: Pace =
    Pace { stall: Duration::from_secs(10), slack: Duration::from_secs(60), bytes_per_s: 1000.0 };

/// A body, and how long its sender has kept us waiting.
pub struct Paced {
    flow: Incoming,
    pace: Pace,
    came: u64,
    waited: Duration,
    waits: Option<(Instant, Pin<Box<Sleep>>)>,
}

impl Paced {
    /// Nothing of it has been read.
    pub fn new(flow: Incoming, pace: Pace) -> Self {
        Paced { flow, pace, came: 0, waited: Duration::ZERO, waits: None }
    }

    /// How much is still to come, if that was told.
    pub fn left(&self) -> Option<u64> {
        self.flow.size_hint().exact()
    }

    /// How much has come.
    pub fn came(&self) -> u64 {
        self.came
    }

    /// Whether its last byte has come.
    pub fn over(&self) -> bool {
        self.flow.is_end_stream()
    }

    /// The next piece; trailers are passed over.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Option<Bytes>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.flow).poll_frame(cx) else {
                let allowed =
                    self.pace.slack + Duration::from_secs_f64(self.came as f64 / self.pace.bytes_per_s);
                let patience = self.pace.stall.min(allowed.saturating_sub(self.waited));
                let (_, late) = self.waits.get_or_insert_with(|| (Instant::now(), Box::pin(sleep(patience))));
                return late.as_mut().poll(cx).map(|()| Err(io::ErrorKind::TimedOut.into()));
            };
            if let Some((since, _)) = self.waits.take() {
                self.waited += since.elapsed();
            }
            return Poll::Ready(match frame {
                None => Ok(None),
                Some(Err(e)) => Err(io::Error::other(e)),
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => {
                        self.came += data.len() as u64;
                        Ok(Some(data))
                    }
                    Err(_) => continue,
                },
            });
        }
    }

    /// The next piece.
    pub async fn next(&mut self) -> io::Result<Option<Bytes>> {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Reads on as long as it is small; whether that was all.
    pub async fn hold(&mut self, held: &mut BytesMut) -> io::Result<bool> {
        while held.len() <= SMALL {
            match self.next().await? {
                Some(piece) => held.extend_from_slice(&piece),
                None => return Ok(true),
            }
        }
        Ok(false)
    }

    /// Reads on for nobody, so that a peer that is still writing gets to read its answer; not for long.
    pub async fn drain(mut self) {
        let most = Duration::from_secs(5);
        let _ = tokio::time::timeout(most, async { while let Ok(Some(_)) = self.next().await {} }).await;
    }
}

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
    /// How long the client waits from its last byte on.
    pub patience: Duration,
}

impl Rest {
    /// The rest of a body.
    pub fn new(flow: Paced, patience: Duration) -> Self {
        let length = flow.left();
        let flow = RefCell::new(Some(flow));
        let (state, changed, passed) = (Cell::new(Flow::Coming), Notify::new(), Cell::new(false));
        Rest { flow, length, state, changed, passed, patience }
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_held_keeps_to_its_room() {
        let room = Room::new(SMALL + 1000);
        assert!(room.take(Some(SMALL as u64 + 1)).is_none(), "too long to be held at all");
        let mut first = room.take(None).expect("room for one of any length");
        let second = room.take(Some(1000)).expect("and for a small one");
        assert!(room.take(Some(1)).is_none());
        first.shrink(10);
        first.shrink(20);
        assert!(room.take(None).is_none());
        drop(second);
        drop(room.take(Some(SMALL as u64)).expect("given back"));
        drop(first);
        assert_eq!(room.0.get(), SMALL + 1000);
    }
}
