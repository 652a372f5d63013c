//! Request and response bodies: buffered where they are small, streamed where they are not.
//!
//! - [`buffer_budget`] bounds the memory of all buffered bodies together.
//! - [`rate_floor`] reads a body and ends it when its sender is too slow.
//! - [`remaining`] streams the part of a request's body that was not buffered to the one attempt that can send it.
//!
//! A streamed body is read from one side only as the other side accepts it.

mod buffer_budget;
mod rate_floor;
mod remaining;

pub use buffer_budget::{BufferBudget, BufferReservation};
pub use rate_floor::{BACKEND_RATE_FLOOR, CLIENT_RATE_FLOOR, RateLimitedBody};
pub use remaining::{BodyState, RemainingBody};

/// The longest body that is buffered, in bytes; a buffered body can be sent again.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The longest body that is passed on, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Bytes of each of the HTTP library's buffers: one for each direction of a connection.
pub const BUFFER: usize = 16 * 1024;
