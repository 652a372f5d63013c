//! Failover among the addresses of several registries.
//!
//! One task that calls registries owns one [`EndpointFailover`] and reports each call's result to it. It holds the
//! address in use, the time since which that address has failed, and the backoff between failed calls.

use super::CallError;
use crate::client::backoff::{Backoff, BackoffBounds};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::warn;

/// Delays after failed calls that nothing urgent waits for.
pub const DEFAULT_BACKOFF: BackoffBounds =
    BackoffBounds { min: Duration::from_millis(33), max: Duration::from_millis(667) };
/// How long a registry may go on failing before the next one is called.
const FAILOVER_AFTER: Duration = Duration::from_secs(1);

/// The registry to call, one of a list that is used in turn.
pub struct EndpointFailover {
    /// What the registries are called for; begins each log line.
    purpose: &'static str,
    addresses: Vec<SocketAddr>,
    /// Index into `addresses`.
    current: usize,
    failing_since: Option<Instant>,
    /// The last error that was logged for the current address; the same one is not logged twice in a row.
    last_logged: Option<String>,
    backoff: Backoff,
}

impl EndpointFailover {
    /// Begins at the first of `addresses`, of which there must be one at least. `purpose` begins each log line.
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

    /// The registry to call now.
    pub fn address(&self) -> SocketAddr {
        self.addresses[self.current]
    }

    /// Whether no call has succeeded since the last failure.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Records a call that succeeded; returns whether it ends a series of failures.
    pub fn record_success(&mut self) -> bool {
        self.last_logged = None;
        self.backoff.reset();
        self.failing_since.take().is_some()
    }

    /// Records a call that failed; returns the delay before the next one, which may go to another registry.
    ///
    /// Failure: a registry hangs, and each call to it costs a full timeout. It is left after the first one. A registry
    /// that refuses connections is most often being restarted, and to resume there costs one update where another
    /// registry would have to send the full list, so that one is left only after `FAILOVER_AFTER`.
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
            warn!("{}: {}: {text}", self.purpose, self.address());
            self.last_logged = Some(text);
        }
    }

    fn fail_over(&mut self, now: Instant) {
        self.current = (self.current + 1) % self.addresses.len();
        self.failing_since = Some(now);
        self.last_logged = None;
        warn!("{}: moves to {}", self.purpose, self.address());
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/client/registry/failover.rs"]
mod tests;
