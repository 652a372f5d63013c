//! What calls are served from, and its limits.

use crate::writer::{Shared, WriteQueue};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;

/// Bodies of writes that are held at once.
const MAX_BODIES_KIB: usize = 64 << 10;
/// Bodies of reports that are held at once.
const MAX_REPORTS_KIB: usize = 16 << 10;
/// Bodies of recorded segments that are held at once.
const MAX_TRACES_KIB: usize = 32 << 10;
/// For a path that nothing is at.
pub const NO_PATH: &str =
    "no such path; the list is at /registry/instances, the leases are at /registry/leases";

/// Limits of the serving side.
#[derive(Clone, Copy)]
pub struct Limits {
    /// Connections open at once; more are closed as they come.
    pub connections: usize,
    /// A request's head must be in within this.
    pub header_timeout: Duration,
    /// Longest body of a write, in bytes.
    pub max_body: usize,
}

/// What each call is served from.
pub struct Context {
    /// The state.
    pub shared: Arc<Shared>,
    /// To the writer.
    pub writes: WriteQueue,
    /// Limits of the serving side.
    pub limits: Limits,
    /// KiB of bodies in work: of writes, of reports and of recorded segments, so that none holds up another kind.
    pub bodies: Semaphore,
    /// Of reports.
    pub reports: Semaphore,
    /// Of recorded segments.
    pub traces: Semaphore,
}

impl Context {
    /// With all its room free.
    pub fn new(shared: Arc<Shared>, writes: WriteQueue, limits: Limits) -> Context {
        Context {
            shared,
            writes,
            limits,
            bodies: Semaphore::new(MAX_BODIES_KIB.max(limits.max_body / 1024 + 1)),
            reports: Semaphore::new(MAX_REPORTS_KIB),
            traces: Semaphore::new(MAX_TRACES_KIB),
        }
    }
}
