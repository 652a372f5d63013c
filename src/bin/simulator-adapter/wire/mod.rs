//! The simulator's binary wire: frames in, replies out. Translates, never decides.

mod decoder;
mod frame;
mod reader;
mod reply;

pub use decoder::{Decoder, Record};
pub use frame::read_frame;
pub use reply::Reply;
