//! The route table in the proxy program: the adapter that applies tables to the engine, and the start of the tasks of
//! the route table and the recorder.
//!
//! The tasks run only where `routes` or `record` is configured.

mod proxy;
mod start;

pub use start::{DESCRIPTORS, Parts, start};
