//! Discovery: keeps a listener's endpoint list up to date by polling and watching a registry.
//!
//! [`run_watch`] runs one task per process. It asks for the full list, then watches for updates after the version that
//! it holds, and begins anew with the full list wherever the registries move to. It owns the held version, the
//! connection and the backoff; the list itself belongs to the [`EndpointListener`].

mod listener;
mod missing_service;
mod poll;
mod schedule;
mod watch;
mod watch_state;

pub use listener::EndpointListener;
pub use schedule::{PollBackoff, PollSchedule};
pub use watch::run_watch;

use crate::catalog::ServiceName;
use crate::client::traffic::Traffic;

/// What discovery polls, and when.
#[derive(Clone, Debug)]
pub struct Settings {
    /// When it polls.
    pub schedule: PollSchedule,
    /// The service whose list is polled; none for the service without a name.
    pub service: Option<ServiceName>,
    /// Counts the messages and bytes of its calls.
    pub traffic: Traffic,
}

impl Settings {
    /// Polls the list of the service without a name; set `service` for another.
    pub fn new(schedule: PollSchedule, traffic: Traffic) -> Self {
        Settings { schedule, service: None, traffic }
    }
}
