//! Room for the bodies that are held.

use super::SMALL;
use std::cell::Cell;
use std::rc::Rc;

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

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/body/room.rs"]
mod tests;
