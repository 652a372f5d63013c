//! Discovery: keeps a listener's endpoint list up to date by polling and watching a registry.
//!
//! [`run_watch`] runs as one task per process. It polls the full list, then watches for updates after the held version.
//! When the registries' addresses change, it starts again with the full list. It owns the held version, the connection
//! and the backoff; the [`EndpointListener`] owns the list itself.

mod answer_expectation;
mod calls_in_flight;
mod list_call;
mod listener;
mod missing_service;
mod poll;
mod schedule;
mod slow_report;
mod watch;
mod watch_state;

pub use listener::EndpointListener;
pub use schedule::{PollBackoff, PollSchedule};
pub use watch::run_watch;

use crate::catalog::ServiceName;
use crate::client::traffic::Traffic;

/// Settings of discovery: the polled list and the schedule of the polls.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Schedule of the polls.
    pub schedule: PollSchedule,
    /// Service whose list is polled; `None` for the unnamed service.
    pub service: Option<ServiceName>,
    /// Counts of the messages and bytes of discovery's calls.
    pub traffic: Traffic,
}

impl Settings {
    /// Creates settings for the unnamed service; set `service` for another one.
    pub fn new(schedule: PollSchedule, traffic: Traffic) -> Self {
        Settings { schedule, service: None, traffic }
    }
}
