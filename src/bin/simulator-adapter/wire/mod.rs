//! The simulator's binary wire: decodes frames of records into events and encodes actions into replies.
//!
//! The simulator defines the wire. Nothing here decides; the decoder's numbered endpoint lists are the only state.

mod decoder;
mod frame;
mod reader;
mod reply;

pub use decoder::{Decoder, Record};
pub use frame::read_frame;
pub use reply::Reply;
