//! Calls to a registry, whatever they ask for.
//!
//! [`call`] makes one HTTP call over a kept [`Connection`], bounded in time and in bytes. [`EndpointFailover`] decides
//! which of several registries is called next and after which delay. Discovery, the route table, the membership's
//! registration and the traffic recorder build on them; this module knows nothing of what they exchange.

mod call;
mod error;
mod failover;

pub use call::{Call, Connection, call};
pub use error::CallError;
pub use failover::{DEFAULT_BACKOFF, EndpointFailover};

/// The most registries that a configuration may name.
pub const MAX_REGISTRIES: usize = 16;
