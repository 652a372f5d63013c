//! The pool of connections to all backends: established, kept idle, and closed before the backends close them.
//!
//! Used by each attempt, and once a second in `close_expired`. Owns the idle connections and the count of open ones.

use super::Target;
use super::limits::{Limits, Permit};
use super::link::{ConnectError, Link};
use super::reservation::ConnectionReservations;
use crate::body::BufferBudget;
use crate::refusals::Refusals;
use crate::sent_ids::SentIds;
use load_balancer::interface::ConnectionUse;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Fraction of the backends' idle timeout (`caps.connIdle`) after which the proxy closes an idle connection.
const MAX_IDLE_FRACTION: f64 = 0.5;

/// Longest wait for a connection that is being closed to make room.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// The connections to all backends.
pub struct Pool {
    pub(super) limits: Limits,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    /// Number of connections on which the response of a superseded attempt is awaited.
    pub(super) superseded: Rc<Cell<usize>>,
    /// Number of connections on which a request is sent that its client has not sent whole.
    pub(super) incomplete_requests: Rc<Cell<usize>>,
    /// The connections that attempts and responses need.
    pub reservations: Rc<ConnectionReservations>,
    /// The requests that are refused for want of connections.
    pub refusals: Rc<Refusals>,
    /// Notified when a connection has closed.
    closed: Rc<Notify>,
    /// Number of attempts that were written completely.
    attempts: Rc<Cell<u64>>,
    pub(super) buffer_budget: Rc<BufferBudget>,
    /// The ids of requests that may have run.
    pub sent_ids: Rc<SentIds>,
}

struct IdleConnection {
    link: Link,
    idle_since: Instant,
}

impl Pool {
    /// Creates an empty pool. Attempts that were written completely are counted in `attempts`; buffered responses are
    /// charged to `buffer_budget`, and refused requests are counted in `refusals`.
    pub fn new(
        limits: Limits,
        attempts: Rc<Cell<u64>>,
        buffer_budget: Rc<BufferBudget>,
        sent_ids: Rc<SentIds>,
        refusals: Rc<Refusals>,
    ) -> Self {
        Pool {
            limits,
            idle: RefCell::default(),
            open: Rc::default(),
            superseded: Rc::default(),
            incomplete_requests: Rc::default(),
            reservations: Rc::default(),
            refusals,
            closed: Rc::default(),
            attempts,
            buffer_budget,
            sent_ids,
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long, well before their backend closes them. A request that
    /// crosses the backend's close would end as a reset, after which it may have run.
    pub fn close_expired(&self) {
        let max_age = self.limits.idle_timeout.mul_f64(MAX_IDLE_FRACTION);
        // The limit shrinks when another process starts at this address; idle connections are closed first.
        for _ in self.limits.own_connections()..self.open.get() {
            self.close_oldest_idle();
        }
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|idle| !idle.link.sender.is_closed() && idle.idle_since.elapsed() < max_age);
            !links.is_empty()
        });
    }

    /// Takes the most recently used idle connection that is still open, so that connections that are not needed expire.
    pub(super) fn reuse(&self, address: SocketAddr) -> Option<Link> {
        let max_age = self.limits.idle_timeout.mul_f64(MAX_IDLE_FRACTION);
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(IdleConnection { link, idle_since }) = links.pop() {
            if link.sender.is_ready() && idle_since.elapsed() < max_age {
                return Some(link);
            }
        }
        None
    }

    /// Adds a connection to the idle ones, unless its backend drains or is gone.
    pub(super) fn keep(&self, target: &Target, link: Link) {
        if target.drained_at.get().is_none() && !link.sender.is_closed() {
            let idle = IdleConnection { link, idle_since: Instant::now() };
            self.idle.borrow_mut().entry(target.address).or_default().push(idle);
        }
    }

    /// Closes the connection that has been idle the longest, regardless of its backend.
    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.iter().filter_map(|(address, links)| Some((links.first()?.idle_since, *address))).min();
        if let Some(links) = oldest.and_then(|(_, address)| idle.get_mut(&address)) {
            links.remove(0);
        }
    }

    /// Returns how many connections requests may reserve, and how many of them are free.
    pub fn connection_use(&self) -> ConnectionUse {
        let most = self.limits.own_connections();
        ConnectionUse {
            most: most as u32,
            free: most.saturating_sub(self.reservations.taken()) as u32,
            responses: self.reservations.outliving() as u32,
        }
    }

    /// Counts requests that were refused because no connection was left for them.
    pub fn count_refused(&self, requests: u64) {
        self.refusals.add(self.limits.binding(), requests);
    }

    /// Returns a permit to open a connection. At the limit, an idle connection is closed for it.
    async fn permit_open(&self) -> Option<Permit> {
        let permit = async {
            loop {
                let most = self.limits.own_connections();
                if let Some(permit) = Permit::acquire(&self.open, most) {
                    return permit;
                }
                self.close_oldest_idle();
                self.closed.notified().await;
            }
        };
        timeout(CLOSE_TIMEOUT, permit).await.ok()
    }

    /// Establishes a connection to `address`. A failure for want of a connection or a descriptor says nothing about the
    /// backend: the request was not sent.
    pub(super) async fn connect(&self, address: SocketAddr) -> Result<Link, ConnectError> {
        let permit = self.permit_open().await.ok_or(ConnectError::Short(self.limits.binding()))?;
        if self.open.get() >= self.limits.own_connections() {
            self.close_oldest_idle();
        }
        let limits = &self.limits;
        Link::establish(address, limits, self.attempts.clone(), permit, self.closed.clone()).await
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/proxy/upstream/pool.rs"]
mod tests;
