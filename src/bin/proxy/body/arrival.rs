//! Tells when the bytes of a request's body arrived, although nothing may have read them.

use crate::io::Client;
use std::cell::Cell;
use std::rc::{Rc, Weak};
use tokio::time::Instant;

/// The number of bytes that have arrived on a connection, and when it last grew.
#[derive(Clone, Copy)]
struct Growth {
    bytes: u64,
    at: Instant,
}

/// The arrival of a part of a body on its client's connection.
pub(super) struct BodyArrival {
    client: Weak<Client>,
    /// Position of the first byte in the client's stream, if it is known.
    begins_at: Option<u64>,
    /// Position after the last byte, if it is known.
    ends_at: Option<u64>,
    last_growth: Cell<Growth>,
}

impl BodyArrival {
    /// Begins to observe a part of `length` bytes that begins at `begins_at` in the client's stream, where that is known.
    pub(super) fn new(client: &Rc<Client>, begins_at: Option<u64>, length: Option<u64>) -> Self {
        let growth = Growth { bytes: client.arrived_bytes(), at: Instant::now() };
        BodyArrival {
            client: Rc::downgrade(client),
            begins_at,
            ends_at: begins_at.zip(length).map(|(begins_at, length)| begins_at + length),
            last_growth: Cell::new(growth),
        }
    }

    /// Checks how much has arrived.
    pub(super) fn update(&self) {
        let bytes = self.client.upgrade().map_or(0, |client| client.arrived_bytes());
        if bytes != self.last_growth.get().bytes {
            self.last_growth.set(Growth { bytes, at: Instant::now() });
        }
    }

    /// Returns whether more had arrived at the last check than what precedes the part, or whether that is not known.
    pub(super) fn has_begun(&self) -> bool {
        self.begins_at.is_none_or(|begins_at| self.last_growth.get().bytes > begins_at)
    }

    /// Returns whether the last byte is known to have arrived by the last check.
    pub(super) fn has_ended(&self) -> bool {
        self.ends_at.is_some_and(|end| self.last_growth.get().bytes >= end)
    }

    /// Returns when the last byte arrived of a part that has arrived completely. Bytes of a later request count too,
    /// which can only make the time later.
    pub(super) fn ended_at(&self) -> Instant {
        self.update();
        self.last_growth.get().at
    }

    /// Returns whether the client has left.
    pub(super) fn client_has_left(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.has_left())
    }
}
