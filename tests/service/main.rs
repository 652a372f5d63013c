//! Operation of a running proxy: the ops address, drains, process replacement and shutdown.

mod drains;
mod operators;
mod processes;
#[path = "../rig/mod.rs"]
mod rig;
#[path = "../waits/mod.rs"]
mod waits;

use crate::rig::*;

/// Starts a fixture whose proxy listens on an ops address.
async fn start_with_ops() -> ProxyFixture {
    start_fixture_with(settings(), |config| config["ops"] = "127.0.0.1:0".into()).await
}
