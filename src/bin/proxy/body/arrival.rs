//! Tells when the bytes of a request's body arrived, although nothing may have read them.
//!
//! A client counts its time from when it has written its last byte. That byte may wait in the buffers of either system
//! while the proxy reads nothing, or reads slowly. What is known then is the last time at which the client still owed a
//! byte: a byte that arrives while the proxy reads nothing was written just now, and so was one that arrives after the
//! proxy has read all. A byte that arrives because the proxy made room for it may have been written long before.

use crate::io::{ByteCount, Client};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;

/// Unread bytes from which the client's system may hold back more.
const BACKED_UP_BYTES: u64 = 32 * 1024;
/// Time without a new byte after which the client's system holds back none: longer than a round trip.
const DRY_TIME: Duration = Duration::from_millis(3);
/// Most bytes that a client's system holds after the client has written them.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;
/// Bytes between two remembered counts.
const COUNT_STEP_BYTES: u64 = MAX_SEND_BUFFER_BYTES / 16;

/// The arrival of a part of a body on its client's connection.
pub(super) struct BodyArrival {
    client: Weak<Client>,
    /// Position of the first byte in the client's stream, if it is known.
    begins_at: Option<u64>,
    /// Position after the last byte, if it is known.
    ends_at: Option<u64>,
    arrived: Cell<ByteCount>,
    /// Number of bytes that had been read at the last check.
    read: Cell<u64>,
    /// The last time at which the client is known to have owed a byte.
    owed_at: Cell<Instant>,
    /// Whether bytes that the client has written may be held back until the proxy reads.
    is_backed_up: Cell<bool>,
    /// The time since which all that arrived has been read.
    dry_since: Cell<Option<Instant>>,
    /// Earlier counts, of which the first is still within [`MAX_SEND_BUFFER_BYTES`] of the present one.
    counts: RefCell<VecDeque<ByteCount>>,
}

impl BodyArrival {
    /// Begins to observe a part of `length` bytes that begins at `begins_at` in the client's stream, where that is known.
    pub(super) fn new(client: &Rc<Client>, begins_at: Option<u64>, length: Option<u64>) -> Self {
        let arrived = ByteCount::new(client.arrived_bytes());
        BodyArrival {
            client: Rc::downgrade(client),
            begins_at,
            ends_at: begins_at.zip(length).map(|(begins_at, length)| begins_at + length),
            arrived: Cell::new(arrived),
            read: Cell::new(client.bytes_read().get()),
            owed_at: Cell::new(arrived.grew_at),
            is_backed_up: Cell::new(false),
            dry_since: Cell::new(None),
            counts: RefCell::default(),
        }
    }

    /// Checks how much has arrived.
    pub(super) fn update(&self) {
        let Some(client) = self.client.upgrade() else { return };
        let before = self.arrived.get();
        let arrived = before.grown_to(client.arrived_bytes());
        self.arrived.set(arrived);
        let read = client.bytes_read().get();
        let read_before = self.read.replace(read);
        if arrived.bytes > before.bytes && read == read_before {
            self.owed_at.set(arrived.grew_at);
        }
        self.forget_old_counts(arrived);
    }

    /// Moves the time at which a byte was owed to that of the last count which the client's system could not have held
    /// back up to now.
    fn forget_old_counts(&self, arrived: ByteCount) {
        let mut counts = self.counts.borrow_mut();
        if counts.back().is_none_or(|last| arrived.bytes >= last.bytes + COUNT_STEP_BYTES) {
            counts.push_back(ByteCount::new(arrived.bytes));
        }
        while counts.front().is_some_and(|first| arrived.bytes > first.bytes + MAX_SEND_BUFFER_BYTES) {
            if let Some(first) = counts.pop_front() {
                self.owed_at.update(|owed_at| owed_at.max(first.grew_at));
            }
        }
    }

    /// Records that nothing was read since the last check.
    pub(super) fn not_read(&self) {
        self.is_backed_up.set(true);
        self.dry_since.set(None);
    }

    /// Records that more is read, and that nothing more could be read now.
    pub(super) fn found_dry(&self) {
        let unread = self.client.upgrade().map_or(0, |client| client.unread_bytes());
        if unread > BACKED_UP_BYTES {
            self.is_backed_up.set(true);
        }
        if unread == 0 && self.dry_since.get().is_none() {
            self.dry_since.set(Some(Instant::now()));
        }
    }

    /// Records that a piece was read.
    pub(super) fn piece_read(&self) {
        let was_dry = self.dry_since.take().map(|since| since.elapsed());
        if was_dry.is_some_and(|time| time >= DRY_TIME) {
            self.is_backed_up.set(false);
            self.owed_at.set(Instant::now());
        }
        if self.is_backed_up.get() {
            self.update();
        }
    }

    /// Returns whether more had arrived at the last check than what precedes the part, or whether that is not known.
    pub(super) fn has_begun(&self) -> bool {
        self.begins_at.is_none_or(|begins_at| self.arrived.get().bytes > begins_at)
    }

    /// Returns whether the last byte is known to have arrived by the last check.
    pub(super) fn has_ended(&self) -> bool {
        self.ends_at.is_some_and(|end| self.arrived.get().bytes >= end)
    }

    /// Returns the time from which on the client may have written the last byte although it has not been seen, if the
    /// proxy holds bytes back.
    pub(super) fn may_have_ended_at(&self) -> Option<Instant> {
        self.is_backed_up.get().then(|| self.owed_at.get())
    }

    /// Returns when the last byte was written of a part that has arrived completely, or earlier. Bytes of a later request
    /// count too, which can only make the time later.
    pub(super) fn ended_at(&self) -> Instant {
        self.update();
        self.may_have_ended_at().unwrap_or(self.arrived.get().grew_at)
    }

    /// Returns whether the client has left.
    pub(super) fn client_has_left(&self) -> bool {
        self.client.upgrade().is_none_or(|client| client.has_left())
    }
}
