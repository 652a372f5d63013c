//! Bodies that flow: taken from one side only as the other side takes them, and never waited for without end.

mod paced;
mod rest;
mod room;

pub use paced::{BACKEND, CLIENT, Paced};
pub use rest::{Flow, Rest};
pub use room::{Held, Room};

/// Bodies up to this are held whole, and can be sent again.
pub const SMALL: usize = 64 * 1024;
/// Longest body that is passed on.
pub const LARGEST: u64 = 32 << 20;
/// Size of the HTTP library's buffers: one for each direction of a connection.
pub const BUFFER: usize = 16 * 1024;
