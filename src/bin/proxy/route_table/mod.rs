//! The route table in this program: the proxy that it acts on, and its start beside the recording's.

mod proxy;
mod start;

pub use start::{DESCRIPTORS, Parts, start};
