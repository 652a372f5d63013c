//! Slow backends and slow clients.

#[path = "../rig/mod.rs"]
mod rig;
#[path = "../waits/mod.rs"]
mod waits;

mod answers;
mod backend;
