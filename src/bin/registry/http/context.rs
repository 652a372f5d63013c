//! What the handlers of calls are given: the shared state, the queue to the writer thread, and the readers of bodies.

use super::body::BodyReader;
use crate::writer::{Shared, WriteQueue};
use std::sync::Arc;
use std::time::Duration;

/// Memory for bodies of writes, in KiB.
const WRITE_BUDGET_KIB: usize = 64 << 10;
/// Memory for bodies of reports, in KiB.
const REPORT_BUDGET_KIB: usize = 16 << 10;
/// Memory for bodies of recorded segments, in KiB.
const SEGMENT_BUDGET_KIB: usize = 32 << 10;
/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// The limits of the serving side, from the configuration.
#[derive(Clone, Copy)]
pub(crate) struct Limits {
    /// Most connections open at once; further ones are closed as soon as they are accepted.
    pub(crate) max_connections: usize,
    /// Time in which the head of a request, and then its body, must arrive, and in which an answer must be taken.
    pub(crate) io_timeout: Duration,
    /// Longest body of a write, in bytes.
    pub(crate) max_body_bytes: usize,
}

/// What each handler is given.
pub(super) struct Context {
    /// The state.
    pub(super) shared: Arc<Shared>,
    /// The queue to the writer thread.
    pub(super) writes: WriteQueue,
    /// Reads bodies of writes.
    pub(super) write_bodies: BodyReader,
    /// Reads bodies of proxies' reports.
    pub(super) report_bodies: BodyReader,
    /// Reads bodies of recorded segments.
    pub(super) segment_bodies: BodyReader,
}

impl Context {
    /// The context of a server with these limits. The budget of writes always fits one write of the longest kind.
    pub(super) fn new(shared: Arc<Shared>, writes: WriteQueue, limits: Limits) -> Context {
        let write_budget_kib = WRITE_BUDGET_KIB.max(limits.max_body_bytes / 1024 + 1);
        let reader = |budget_kib, max_bytes| BodyReader::new(budget_kib, max_bytes, limits.io_timeout);
        Context {
            shared,
            writes,
            write_bodies: reader(write_budget_kib, limits.max_body_bytes),
            report_bodies: reader(REPORT_BUDGET_KIB, MAX_REPORT_BYTES),
            segment_bodies: reader(SEGMENT_BUDGET_KIB, load_balancer::replay::MAX_ENCODED),
        }
    }
}
