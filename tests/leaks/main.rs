//! Abrupt disconnects leak nothing: descriptors, requests in flight, connections to backends and body memory return
//! to their values at the start.

mod backend;
mod backend_resets;
mod clients;
mod discovery;
mod leak_check;
#[path = "../rig/mod.rs"]
mod rig;
#[path = "../waits/mod.rs"]
mod waits;
