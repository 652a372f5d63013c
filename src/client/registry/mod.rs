//! Calls to a registry, independent of their content.
//!
//! [`call`] makes one HTTP call over a kept [`Connection`], with limits on time and bytes; [`AnswerTime`] adapts the limit
//! on time, and a [`RegistryClient`] combines both for one call at a time. [`EndpointFailover`] decides which of several
//! registries is called next, and after which delay. Discovery, the route table, the membership's
//! registration and the traffic recorder use them; this module does not depend on the content of their calls.

mod answer_time;
mod call;
mod call_trace;
mod client;
mod error;
mod failover;

pub use answer_time::AnswerTime;
pub use call::{Call, Connection, call};
pub use client::RegistryClient;
pub use error::CallError;
pub use failover::{DEFAULT_BACKOFF, EndpointFailover};

/// Most registries that a configuration may name.
pub const MAX_REGISTRIES: usize = 16;
