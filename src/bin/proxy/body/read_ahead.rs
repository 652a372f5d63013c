//! The part of a request's body that was received before an attempt could take it.
//!
//! Each segment holds a reservation in the buffer budget, so that many bodies that wait at once stay within it.

use super::buffer_budget::{BufferBudget, BufferReservation};
use super::{HTTP_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};
use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::rc::Rc;

/// Size in bytes of a segment. Small pieces of a body share one.
const SEGMENT_BYTES: usize = HTTP_BUFFER_BYTES;
/// Most segments of one body that are held.
const MAX_SEGMENTS: usize = 8 * MAX_BUFFERED_BODY_BYTES / SEGMENT_BYTES;

/// A part of a body, and its reservation. Only a segment for an attempt that waits has none.
struct Segment {
    data: BytesMut,
    _permit: Option<BufferReservation>,
}

/// The received part of one body, in order.
pub struct ReadAhead {
    budget: Rc<BufferBudget>,
    segments: VecDeque<Segment>,
    /// The reservation of the next segment.
    next_permit: Option<BufferReservation>,
}

impl ReadAhead {
    /// Creates an empty queue whose segments are charged to `budget`.
    pub fn new(budget: Rc<BufferBudget>) -> Self {
        ReadAhead { budget, segments: VecDeque::new(), next_permit: None }
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Returns whether another piece may be received ahead, and reserves memory for it.
    pub fn reserve(&mut self) -> bool {
        if self.next_permit.is_none() && self.segments.len() < MAX_SEGMENTS {
            self.next_permit = self.budget.reserve_read_ahead(SEGMENT_BYTES);
        }
        self.next_permit.is_some()
    }

    /// Appends a piece that was received.
    pub fn push(&mut self, mut data: Bytes) {
        if let Some(last) = self.segments.back_mut() {
            let room = last.data.capacity() - last.data.len();
            last.data.extend_from_slice(&data.split_to(room.min(data.len())));
        }
        while !data.is_empty() {
            let permit = self.next_permit.take().or_else(|| self.budget.reserve_read_ahead(SEGMENT_BYTES));
            let piece = data.split_to(SEGMENT_BYTES.min(data.len()));
            let capacity = if permit.is_some() { SEGMENT_BYTES } else { piece.len() };
            let mut segment = BytesMut::with_capacity(capacity);
            segment.extend_from_slice(&piece);
            self.segments.push_back(Segment { data: segment, _permit: permit });
        }
    }

    /// Takes the oldest segment.
    pub fn pop(&mut self) -> Option<Bytes> {
        self.segments.pop_front().map(|segment| segment.data.freeze())
    }

    /// Returns the reservation of the next segment: no more will be received.
    pub fn finish(&mut self) {
        self.next_permit = None;
    }

    /// Drops what is held.
    pub fn clear(&mut self) {
        self.segments.clear();
        self.finish();
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/body/read_ahead.rs"]
mod tests;
