//! A registry as its clients meet it, whatever they ask it for.

mod call;
mod fault;
mod rotation;

pub use call::{Call, Link, call};
pub use fault::Fault;
pub use rotation::{PAUSES, Rotation};

/// More registries than this are a mistake.
pub const MAX_REGISTRIES: usize = 16;
