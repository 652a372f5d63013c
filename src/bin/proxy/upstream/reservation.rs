//! Reservations of connections to backends.
//!
//! Each attempt reserves a connection before it is started, so that the decision module sends no more requests than
//! there are connections for them and their responses. A reservation that outlives its attempt belongs to a response
//! that is still being passed on, or whose connection is worth keeping.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The reserved connections of this process.
#[derive(Default)]
pub struct ConnectionReservations {
    taken: Cell<usize>,
    /// Number of those that outlive their attempts.
    outliving: Cell<usize>,
    /// Notified when one that outlived its attempt ends, or one is paused.
    freed: Notify,
}

/// A reserved connection, free again when this is dropped.
pub struct ConnectionReservation {
    of: Rc<ConnectionReservations>,
    /// Whether the connection counts as taken.
    is_taken: bool,
    outlives_attempt: bool,
}

impl ConnectionReservations {
    /// Reserves a connection for an attempt that the decision module has started.
    pub fn reserve(self: &Rc<Self>) -> ConnectionReservation {
        self.taken.update(|taken| taken + 1);
        ConnectionReservation { of: self.clone(), is_taken: true, outlives_attempt: false }
    }

    /// Returns the number of reserved connections.
    pub(super) fn taken(&self) -> usize {
        self.taken.get()
    }

    /// Returns the number of reserved connections that outlive their attempts.
    pub(super) fn outliving(&self) -> usize {
        self.outliving.get()
    }

    /// Waits until a connection becomes free that belonged to no attempt in flight.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

impl ConnectionReservation {
    /// Keeps the connection after the end of its attempt.
    pub(super) fn outlive_attempt(&mut self) {
        self.outlives_attempt = true;
        self.of.outliving.update(|outliving| outliving + 1);
    }

    /// Leaves the connection to others while the attempt needs none.
    pub(super) fn pause(&mut self) {
        if std::mem::take(&mut self.is_taken) {
            self.of.taken.update(|taken| taken - 1);
            self.of.freed.notify_one();
        }
    }

    /// Ends a pause, if fewer than `most` connections are reserved. Returns whether the attempt has one now.
    pub(super) fn resume(&mut self, most: usize) -> bool {
        if !self.is_taken && self.of.taken() < most {
            self.is_taken = true;
            self.of.taken.update(|taken| taken + 1);
        }
        self.is_taken
    }
}

impl Drop for ConnectionReservation {
    fn drop(&mut self) {
        if self.is_taken {
            self.of.taken.update(|taken| taken - 1);
        }
        if self.outlives_attempt {
            self.of.outliving.update(|outliving| outliving - 1);
            self.of.freed.notify_one();
        }
    }
}
