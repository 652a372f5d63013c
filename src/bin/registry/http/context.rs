//! The context of the HTTP handlers: the shared state, the queue to the writer thread and the readers of bodies.

use super::body::BodyReader;
use crate::writer::{Shared, WriteQueue};
use std::sync::Arc;
use std::time::Duration;

/// Memory budget for the bodies of writes, in KiB.
const WRITE_BUDGET_KIB: usize = 64 << 10;
/// Memory budget for the bodies of reports, in KiB.
const REPORT_BUDGET_KIB: usize = 16 << 10;
/// Memory budget for the bodies of recorded segments, in KiB.
const SEGMENT_BUDGET_KIB: usize = 32 << 10;
/// Maximum length of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Limits on connections and requests, from the configuration.
#[derive(Clone, Copy)]
pub(crate) struct Limits {
    /// Maximum number of open connections; further ones are closed as soon as they are accepted.
    pub(crate) max_connections: usize,
    /// Maximum time for the head of a request to arrive, then for its body, and for each write of an answer.
    pub(crate) io_timeout: Duration,
    /// Maximum length of the body of a write, in bytes.
    pub(crate) max_body_bytes: usize,
}

/// The context that every handler gets.
pub(super) struct Context {
    /// State shared with the writer thread.
    pub(super) shared: Arc<Shared>,
    /// Queue to the writer thread.
    pub(super) writes: WriteQueue,
    /// Reader for the bodies of writes.
    pub(super) write_bodies: BodyReader,
    /// Reader for the bodies of proxies' reports.
    pub(super) report_bodies: BodyReader,
    /// Reader for the bodies of recorded segments.
    pub(super) segment_bodies: BodyReader,
}

impl Context {
    /// Creates the context of a server with these limits. The budget of writes has room for at least one write of the
    /// maximum length.
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
