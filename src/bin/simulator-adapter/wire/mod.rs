//! The simulator's binary protocol: decodes frames of records into events and encodes actions into replies.
//!
//! The simulator defines the protocol. This module makes no decisions, and its only state is the decoder's numbered
//! endpoint lists.

mod decoder;
mod frame;
mod reader;
mod reply;

pub use decoder::{Decoder, Record};
pub use frame::read_frame;
pub use reply::Reply;
