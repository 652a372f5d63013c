//! Limits how much of a body is handled before other connections have their turn.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::task::yield_now;

/// Pieces of a body that are handled in one turn. Chunks of a few bytes are pieces too.
const PIECES_PER_TURN: usize = 16;

/// The turn of one body. All bodies share one thread.
#[derive(Default)]
pub(super) struct Turn {
    pieces: usize,
    /// The end of the turns of the other connections.
    next: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl Turn {
    /// Polls for permission to handle another piece.
    pub(super) fn poll_next_piece(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(next) = &mut self.next {
            ready!(next.as_mut().poll(cx));
            self.next = None;
            self.pieces = 0;
        }
        Poll::Ready(())
    }

    /// Counts a piece, after the last of which the turn is over.
    pub(super) fn count(&mut self) {
        self.pieces += 1;
        if self.pieces >= PIECES_PER_TURN {
            self.next = Some(Box::pin(yield_now()));
        }
    }

    /// Begins a new turn, since the body waited for its sender.
    pub(super) fn restart(&mut self) {
        self.pieces = 0;
    }
}
