//! The clients' side: accepts connections, reads requests, responds, and closes connections.
//!
//! Of the phases of a request `accept`, `read_request`, `respond` and `account` are here, each in the file of its name;
//! `handle.rs` has their order. Owns the clients' connections and their number.

mod accept;
mod connection;
mod handle;
mod lingering_close;
mod read_request;
mod respond;

use crate::body::BufferBudget;
use crate::counters::Counters;
use crate::engine::Engine;
use crate::lifecycle::Lifecycle;
use load_balancer::platform_settings::PlatformSettings;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;

/// What is needed to serve clients.
pub struct Downstream {
    /// Decides what becomes of requests.
    pub engine: Rc<Engine>,
    /// The platform's settings.
    pub platform: PlatformSettings,
    /// Counts requests.
    pub counters: Rc<Counters>,
    /// Whether clients are accepted.
    pub lifecycle: Rc<Lifecycle>,
    /// Most connections at once, of all processes together.
    pub connections: usize,
    /// Connections beyond that limit, accepted only to have their requests rejected at once.
    pub spare: usize,
    /// Budget of the bodies that are buffered.
    pub buffer_budget: Rc<BufferBudget>,
    /// How many processes serve this address.
    pub processes: watch::Sender<u32>,
    /// How many connections are open.
    pub open: Cell<usize>,
}

impl Downstream {
    /// Most connections of this process.
    fn own_connections(&self) -> usize {
        (self.connections / *self.processes.borrow() as usize).max(1)
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/downstream.rs"]
mod tests;
