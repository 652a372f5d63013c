//! The clients' side: accepts connections, reads requests, responds, and closes connections.
//!
//! Implements the request phases `accept`, `read_request` and `respond`, each in the file of its name, and
//! `account`, which is the drop of a response in `respond.rs`. Their order is in `handle.rs`. Owns the client
//! connections and their count.

mod accept;
mod activity;
mod check_head;
mod connection;
mod first_head;
mod handle;
mod lingering_close;
mod read_request;
mod respond;
mod slots;

pub use slots::Slots;

use crate::body::BufferBudget;
use crate::counters::Counters;
use crate::engine::Engine;
use crate::lifecycle::Lifecycle;
use crate::memory::MemoryPlan;
use crate::sent_ids::SentIds;
use load_balancer::platform_settings::PlatformSettings;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// The server for clients, with the shared state that serving a request needs.
pub struct Downstream {
    /// The engine that decides what happens to each request.
    pub engine: Rc<Engine>,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// The request counters of this process.
    pub counters: Rc<Counters>,
    /// The lifecycle state, which says whether connections are kept.
    pub lifecycle: Rc<Lifecycle>,
    /// Limit of open client connections for all processes at this address together.
    pub connections: usize,
    /// Number of connections that are accepted beyond the limit of this process. Requests on them are rejected
    /// while the number of unanswered requests is at that limit.
    pub spare: usize,
    /// Slots of the connections that are served.
    pub slots: Slots,
    /// What this process may hold.
    pub memory: MemoryPlan,
    /// The ids of requests that may have run.
    pub sent_ids: Rc<SentIds>,
    /// Memory budget for buffered bodies.
    pub buffer_budget: Rc<BufferBudget>,
    /// Number of processes that serve this address.
    pub processes: watch::Sender<u32>,
    /// Number of open client connections.
    pub open: Cell<usize>,
}

impl Downstream {
    /// Returns the limit of open client connections for this process.
    fn own_connections(&self) -> usize {
        (self.connections / *self.processes.borrow() as usize).max(1)
    }

    /// Returns the limit of connections that are served by this process.
    fn served_connections(&self) -> usize {
        self.own_connections().min(self.memory.client_connections.saturating_sub(self.spare)).max(1)
    }

    /// Returns the number of connections that are served.
    fn served(&self) -> usize {
        self.memory.client_connections.saturating_sub(self.slots.free())
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/downstream.rs"]
mod tests;
