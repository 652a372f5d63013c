//! The limits of the connection pool, and permits out of limited numbers.

use crate::memory::MemoryPlan;
use crate::refusals::Shortage;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Largest part of the connections on which requests are sent that their clients have not sent whole, in percent. The
/// others are left for the requests of other clients.
const INCOMPLETE_REQUESTS_PERCENT: usize = 60;

/// The limits of the connection pool.
pub struct Limits {
    /// Limit of open backend connections for all processes together.
    pub connections: usize,
    /// What this process may hold.
    pub memory: MemoryPlan,
    /// Number of processes that share the limit.
    pub processes: watch::Receiver<u32>,
    /// Timeout of a connect.
    pub connect_timeout: Duration,
    /// Idle time after which backends close a connection.
    pub idle_timeout: Duration,
    /// Time after the notice of a drain within which a request may still be sent to the backend.
    pub drain_grace: Duration,
    /// Whether a superseded attempt may stay open during the next attempt.
    pub may_duplicate: bool,
}

impl Limits {
    /// Returns this process's part of the connections that the descriptors allow.
    fn for_descriptors(&self) -> usize {
        self.connections / *self.processes.borrow() as usize
    }

    /// Returns the limit of open connections for this process.
    pub(super) fn own_connections(&self) -> usize {
        self.for_descriptors().min(self.memory.backend_connections).max(1)
    }

    /// Returns what more connections would need.
    pub(super) fn binding(&self) -> Shortage {
        if self.memory.backend_connections < self.for_descriptors() {
            Shortage::Memory
        } else {
            Shortage::Descriptors
        }
    }

    /// Returns the largest number of connections for requests that their clients have not sent whole.
    pub(super) fn for_incomplete_requests(&self) -> usize {
        (self.own_connections() * INCOMPLETE_REQUESTS_PERCENT / 100).max(1)
    }
}

/// A permit out of a limited number, released when dropped.
pub struct Permit(Rc<Cell<usize>>);

impl Permit {
    /// Takes one permit if `count`, the number in use, is below `most`.
    pub(super) fn acquire(count: &Rc<Cell<usize>>, most: usize) -> Option<Permit> {
        (count.get() < most).then(|| {
            count.set(count.get() + 1);
            Permit(count.clone())
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
