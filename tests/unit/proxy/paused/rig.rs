//! Test rig modules that are shared with the tests of a separate proxy process.
#![allow(dead_code, unused_imports)]

#[path = "../../../rig/backend.rs"]
mod backend;
#[path = "../../../rig/client.rs"]
mod client;
#[path = "../../../rig/discovery.rs"]
mod discovery;
#[path = "../../../scripted/script.rs"]
mod script;
#[path = "../../../rig/settings.rs"]
mod settings;
#[path = "../../../waits/mod.rs"]
mod waits;

pub use backend::{BackendAction, BackendControl, TestBackend, endpoint_entry};
pub use client::{TestClient, connect, refusing_address, request};
pub use discovery::TestDiscovery;
pub use script::{ConnectionEnd, Script, ScriptedResponse};
pub use settings::settings;
pub use waits::within_deadline;
