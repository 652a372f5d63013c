//! Hundreds of slow peers at a proxy with little memory and many descriptors: what the process may hold at its worst.

#[path = "../rig/mod.rs"]
mod rig;
#[path = "../waits/mod.rs"]
mod waits;

mod answers;
mod backend;
mod flood;
mod ids;
mod memory;
mod peers;
mod requests;
