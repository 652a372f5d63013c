//! Tests of a proxy process on loopback sockets: what clients receive, and what backends are sent.

mod attempts;
mod connection_limits;
mod endpoint_lists;
mod input;
mod pool;
#[path = "../rig/mod.rs"]
mod rig;
mod stops;
#[path = "../waits/mod.rs"]
mod waits;
