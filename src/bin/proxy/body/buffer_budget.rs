//! The budget for buffered bodies.
//!
//! One budget is shared by all requests and responses. Each buffered body holds a reservation, which is returned when
//! it is dropped.

use super::{HTTP_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};
use std::cell::Cell;
use std::rc::Rc;

/// Largest piece of a body that is received at once, in bytes.
const PIECE_BYTES: usize = HTTP_BUFFER_BYTES;

/// The bytes that are left for buffered bodies.
///
/// Without this budget, many bodies buffered at once could exceed the memory limit. A body that gets no reservation is
/// streamed, as a long one is, and cannot be sent again once an attempt has read a part of it.
pub struct BufferBudget {
    total: usize,
    left: Cell<usize>,
}

/// Bytes reserved for one body; returned to the budget when dropped.
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(BufferBudget { total: bytes, left: Cell::new(bytes) })
    }

    /// Reserves memory for the first piece of a body of `length` bytes, if that is known; the reservation grows with the
    /// body. Returns `None` if too little is left, or if the body is too long to be buffered.
    pub fn reserve_first_piece(self: &Rc<Self>, length: Option<u64>) -> Option<BufferReservation> {
        let length = length.unwrap_or(MAX_BUFFERED_BODY_BYTES as u64);
        let bytes = usize::try_from(length).ok().filter(|bytes| *bytes <= MAX_BUFFERED_BODY_BYTES)?;
        self.take(bytes.min(PIECE_BYTES), 0)
    }

    /// Reserves memory for a part of a streamed request that is received before a backend takes it. Returns `None` if
    /// less than half of the budget would be left, which is kept for bodies and responses that are buffered whole.
    pub fn reserve_read_ahead(self: &Rc<Self>, bytes: usize) -> Option<BufferReservation> {
        self.take(bytes, self.total / 2)
    }

    /// Takes `bytes` if at least `kept` bytes are left after that.
    fn take(self: &Rc<Self>, bytes: usize, kept: usize) -> Option<BufferReservation> {
        let left = self.left.get().checked_sub(bytes).filter(|left| *left >= kept)?;
        self.left.set(left);
        Some(BufferReservation { budget: self.clone(), bytes })
    }
}

impl BufferReservation {
    /// Grows the reservation by a piece if it does not cover `bytes` and another piece. Returns whether it does then.
    pub fn cover_next_piece(&mut self, bytes: usize) -> bool {
        let missing = (bytes + PIECE_BYTES).saturating_sub(self.bytes);
        let Some(mut more) = self.budget.take(missing, 0) else { return false };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Returns whether the reservation covers `bytes`.
    pub fn covers(&self, bytes: usize) -> bool {
        bytes <= self.bytes
    }

    /// Reduces the reservation to `bytes` once the body's length is known, and returns the excess to the budget.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.budget.left.update(|left| left + excess);
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.left.update(|left| left + self.bytes);
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/body/buffer_budget.rs"]
mod tests;
