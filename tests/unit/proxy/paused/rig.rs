//! What the tests with a started process use too.
#![allow(dead_code, unused_imports)]

#[path = "../../../rig/backend.rs"]
mod backend;
#[path = "../../../rig/caller.rs"]
mod caller;
#[path = "../../../rig/discovery.rs"]
mod discovery;
#[path = "../../../scripted/script.rs"]
mod script;
#[path = "../../../rig/settings.rs"]
mod settings;
#[path = "../../../waits/mod.rs"]
mod waits;

pub use backend::{Backend, Do, Orders, line};
pub use caller::{Caller, connect, refusing, request};
pub use discovery::Discovery;
pub use script::{Act, End, Script};
pub use settings::settings;
pub use waits::soon;
