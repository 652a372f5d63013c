//! A body, and how slow its sender may be.

use super::SMALL;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep};

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
/// 64 kB a second. No deadline counts before the last byte, so that no setting bears on it.
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
    last: Option<Instant>,
}

impl Paced {
    /// Nothing of it has been read.
    pub fn new(flow: Incoming, pace: Pace) -> Self {
        Paced { flow, pace, came: 0, waited: Duration::ZERO, waits: None, last: None }
    }

    /// What has not come by then breaks off, however fast it comes.
    pub fn end_by(&mut self, last: Instant) {
        self.last = Some(last);
        // A wait that has begun goes by the new limit too.
        if let Some((since, _)) = self.waits.take() {
            self.waited += since.elapsed();
        }
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
        let left = self.last.map(|last| last.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.flow).poll_frame(cx) else {
                let allowed =
                    self.pace.slack + Duration::from_secs_f64(self.came as f64 / self.pace.bytes_per_s);
                let patience = self.pace.stall.min(allowed.saturating_sub(self.waited));
                let patience = left.map_or(patience, |left| patience.min(left));
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
