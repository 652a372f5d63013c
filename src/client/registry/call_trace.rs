//! Log of one call's life at level `debug`: when it started, and when it was answered, failed or was abandoned.
//!
//! The lines tell a registry that is not called from one that is called but given up too early, and an answer that does
//! not arrive from one that arrives and is rejected.

use super::CallError;
use crate::client::traffic::TrafficKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// Traces one call; logs that the call was abandoned if it is dropped before [`CallTrace::end`].
pub(super) struct CallTrace {
    kind: TrafficKind,
    address: SocketAddr,
    started: Instant,
    has_ended: bool,
}

impl CallTrace {
    /// Logs the start of a call.
    pub(super) fn start(kind: TrafficKind, address: SocketAddr, path: &str, time_limit: Duration) -> Self {
        debug!("{kind:?} call to {address}{path} started, time limit {} ms", time_limit.as_millis());
        CallTrace { kind, address, started: Instant::now(), has_ended: false }
    }

    /// Logs the end of the call.
    pub(super) fn end<T>(mut self, result: &Result<T, CallError>) {
        self.has_ended = true;
        let (kind, address, elapsed_ms) = (self.kind, self.address, self.elapsed_ms());
        match result {
            Ok(_) => debug!("{kind:?} call to {address} answered after {elapsed_ms} ms"),
            Err(error) => debug!("{kind:?} call to {address} failed after {elapsed_ms} ms: {error}"),
        }
    }

    fn elapsed_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }
}

impl Drop for CallTrace {
    fn drop(&mut self) {
        if !self.has_ended {
            debug!("{:?} call to {} abandoned after {} ms", self.kind, self.address, self.elapsed_ms());
        }
    }
}
