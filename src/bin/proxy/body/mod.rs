//! Request and response bodies: small ones are buffered, others are streamed.
//!
//! - [`buffer_budget`] bounds the memory of all buffered bodies together.
//! - [`rate_limited_body`] reads a body and fails it when its sender is slower than its [`rate_floor`].
//! - [`receive_progress`] tells whether the sender of a request's body is slow.
//! - [`remaining`] holds the unbuffered part of a request's body; [`receive`] receives it from the client.
//! - [`claim`] is the right to take that part, which one attempt has at a time.
//! - [`turn`] lets other connections have their turn between the pieces of a body.
//! - [`state`] is the state of that part, from its arrival to its end.
//! - [`arrival`] tells when a body's bytes arrived, although nothing may have read them.
//! - [`read_ahead`] holds what was received of it before the attempt could take it.
//!
//! A streamed response is read only as fast as its client accepts it, a streamed request as far ahead of its backend as
//! the budget allows.

mod arrival;
mod buffer_budget;
mod claim;
mod rate_floor;
mod rate_limited_body;
mod read_ahead;
mod receive;
mod receive_progress;
mod remaining;
mod state;
mod turn;

pub use buffer_budget::{BufferBudget, BufferReservation};
pub use claim::{BodyClaim, ClaimedBody};
pub use rate_limited_body::{Lateness, RateLimitedBody, append};
pub use receive_progress::ReceiveProgress;
pub use remaining::RemainingBody;
pub use state::BodyState;

/// The longest body that is buffered, in bytes; a buffered body can be sent again.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The longest body that is passed on, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Size in bytes of each of the HTTP library's buffers; a connection has one for each direction.
pub const HTTP_BUFFER_BYTES: usize = 16 * 1024;
