//! The route table in this program: the proxy that it acts on, and the start of its tasks and the recorder's.
//!
//! Acts only where `routes` or `record` is configured.

mod proxy;
mod start;

pub use start::{DESCRIPTORS, Parts, start};
