//! The started program in day-to-day service: the operators' address, drains, stops.

mod drains;
mod operators;
mod processes;
#[path = "../rig/mod.rs"]
mod rig;
#[path = "../waits/mod.rs"]
mod waits;

use crate::rig::*;

/// A scene whose proxy answers operators.
async fn in_service() -> ProxyFixture {
    start_fixture_with(settings(), |config| config["ops"] = "127.0.0.1:0".into()).await
}
