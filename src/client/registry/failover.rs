//! Failover among the addresses of several registries.
//!
//! Each task that calls registries owns one [`EndpointFailover`] and records each call's result in it. It holds the
//! address in use, the time since which that address has failed, and the backoff between failed calls.

use super::CallError;
use crate::client::backoff::{Backoff, BackoffBounds};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Range of the delays after failed calls that are not urgent.
pub const DEFAULT_BACKOFF: BackoffBounds =
    BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(667) };
/// Time for which calls to a registry may fail before the next registry is called.
const FAILOVER_AFTER: Duration = Duration::from_secs(1);

/// Selection of the registry to call from a list that is used in turn.
pub struct EndpointFailover {
    /// Prefix of each log line: the subject of the calls.
    purpose: &'static str,
    addresses: Vec<SocketAddr>,
    /// Index into `addresses`.
    current: usize,
    failing_since: Option<Instant>,
    /// Last error that was logged for the current address; the same error is not logged twice in a row.
    last_logged: Option<String>,
    backoff: Backoff,
}

impl EndpointFailover {
    /// Creates a failover that starts at the first of `addresses`, of which there must be at least one. `purpose` is
    /// the prefix of each log line.
    pub fn new(purpose: &'static str, addresses: Vec<SocketAddr>, bounds: BackoffBounds) -> Self {
        EndpointFailover {
            purpose,
            addresses,
            current: 0,
            failing_since: None,
            last_logged: None,
            backoff: Backoff::new(bounds),
        }
    }

    /// Returns the address of the registry to call.
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.current]
    }

    /// Returns to a registry whose answer arrived after the next one was called.
    pub fn return_to(&mut self, address: SocketAddr) {
        let position = self.addresses.iter().position(|known| *known == address);
        if let Some(position) = position.filter(|position| *position != self.current) {
            self.current = position;
            info!("{}: returning to {address}, whose answer was late", self.purpose);
        }
    }

    /// Returns whether no call has succeeded since the last failure.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records a successful call; returns whether it ends a series of failures.
    pub fn record_success(&mut self) -> bool {
        self.last_logged = None;
        self.backoff.reset();
        self.failing_since.take().is_some()
    }

    /// Records a failed call; returns the delay before the next one, which may be to another registry.
    ///
    /// Each call to a registry that hangs costs a full timeout, so the next registry is called after the first timeout.
    /// A registry that fails in another way, such as by refusing connections, is most often being restarted. Resuming
    /// there costs one update, while another registry would have to send the full list, so the next registry is called
    /// only after `FAILOVER_AFTER`.
    pub fn record_failure(&mut self, error: &CallError) -> Duration {
        let now = Instant::now();
        let failing_since = *self.failing_since.get_or_insert(now);
        self.log_once(error);
        let fails_over = matches!(error, CallError::TimedOut) || now - failing_since >= FAILOVER_AFTER;
        if self.addresses.len() > 1 && fails_over {
            self.fail_over(now);
        }
        self.backoff.next_delay()
    }

    fn log_once(&mut self, error: &CallError) {
        let text = error.to_string();
        if self.last_logged.as_ref() != Some(&text) {
            warn!("{}: call to {} failed: {text}", self.purpose, self.address());
            self.last_logged = Some(text);
        }
    }

    fn fail_over(&mut self, now: Instant) {
        self.current = (self.current + 1) % self.addresses.len();
        self.failing_since = Some(now);
        self.last_logged = None;
        warn!("{}: failing over to {}", self.purpose, self.address());
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/registry/failover.rs"]
mod tests;
