//! Tells when the bytes of a request's body arrived, although nothing may have read them.

use crate::io::{ByteCount, Client};
use std::cell::Cell;
use std::rc::{Rc, Weak};
use tokio::time::Instant;

/// The arrival of a part of a body on its client's connection.
pub(super) struct BodyArrival {
    client: Weak<Client>,
    /// Position of the first byte in the client's stream, if it is known.
    begins_at: Option<u64>,
    /// Position after the last byte, if it is known.
    ends_at: Option<u64>,
    arrived: Cell<ByteCount>,
}

impl BodyArrival {
    /// Begins to observe a part of `length` bytes that begins at `begins_at` in the client's stream, where that is known.
    pub(super) fn new(client: &Rc<Client>, begins_at: Option<u64>, length: Option<u64>) -> Self {
        BodyArrival {
            client: Rc::downgrade(client),
            begins_at,
            ends_at: begins_at.zip(length).map(|(begins_at, length)| begins_at + length),
            arrived: Cell::new(ByteCount::new(client.arrived_bytes())),
        }
    }

    /// Checks how much has arrived.
    pub(super) fn update(&self) {
        let bytes = self.client.upgrade().map_or(0, |client| client.arrived_bytes());
        self.arrived.update(|arrived| arrived.grown_to(bytes));
    }

    /// Returns whether more had arrived at the last check than what precedes the part, or whether that is not known.
    pub(super) fn has_begun(&self) -> bool {
        self.begins_at.is_none_or(|begins_at| self.arrived.get().bytes > begins_at)
    }

    /// Returns whether the last byte is known to have arrived by the last check.
    pub(super) fn has_ended(&self) -> bool {
        self.ends_at.is_some_and(|end| self.arrived.get().bytes >= end)
    }

    /// Returns when the last byte arrived of a part that has arrived completely. Bytes of a later request count too,
    /// which can only make the time later.
    pub(super) fn ended_at(&self) -> Instant {
        self.update();
        self.arrived.get().grew_at
    }

    /// Returns whether the client has left.
    pub(super) fn client_has_left(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.has_left())
    }
}
